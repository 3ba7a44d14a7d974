package coldstart

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

// BenchmarkManyColdTargets looks at each target of a service that has just started
// as a whole, as every choice of a target does.
func BenchmarkManyColdTargets(b *testing.B) {
	r := newRates(300, 6.2)[0]
	ids := make([]vm.ID, 1000)
	for i := range ids {
		ids[i] = vm.ID(fmt.Sprint("cold-", i))
	}
	now := time.Now()
	for b.Loop() {
		for _, id := range ids {
			r.Until(id, now)
		}
	}
}
