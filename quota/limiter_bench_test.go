package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

// BenchmarkManyTargets checks every target of a service, as each selection of a target
// does when all of them have just started.
func BenchmarkManyTargets(b *testing.B) {
	l := &Limiter{}
	nodes := nodeIDs(300)
	l.SetFleet(nodes[0], nodes, 0)
	ids := make([]vm.ID, 1000)
	for i := range ids {
		ids[i] = vm.ID(fmt.Sprint("cold-", i))
	}
	now := time.Now()
	for b.Loop() {
		for _, id := range ids {
			l.Wait(id, 6.2, now)
		}
	}
}
