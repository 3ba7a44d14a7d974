package measure

import (
	"fmt"
	"testing"

	"github.com/apricotmount/apricotmount/proof/model"
)

func TestExp(t *testing.T) {
	if !*measureFlag {
		t.Skip()
	}
	type cse struct {
		load  float64
		nodes int
	}
	for _, way := range []model.Way{exact, twoHedge, product} {
		for _, c := range []cse{{0.75, 17}, {0.9, 17}, {0.75, 100}} {
			t.Run(fmt.Sprint(way.Name, c), func(t *testing.T) {
				t.Parallel()
				r1, r2 := steady(t, way, 1, c.nodes, c.load), steady(t, way, 2, c.nodes, c.load)
				m := model.Merge(r1, r2)
				fmt.Printf("RES %-40s %.2f %3d p50 %5.1f p99 %5.1f p99.9 %5.1f lost %d att %.3f ref %.3f %v\n", way.Name, c.load, c.nodes, float64(m.ValueAtPercentile(50))/1000, float64(m.ValueAtPercentile(99))/1000, float64(m.ValueAtPercentile(99.9))/1000, r1.Lost+r2.Lost, float64(r1.Attempts)/float64(r1.Calls), float64(r1.Refusals)/float64(r1.Calls), r1.Furthers)
			})
		}
	}
}
