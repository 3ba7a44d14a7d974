package coldstart

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

// BenchmarkManyColdTargets checks every target of a service whose targets have
// all just started, as each selection of a target does.
func BenchmarkManyColdTargets(b *testing.B) {
	r := newRates(300, 6.2)[0]
	ids := make([]vm.ID, 1000)
	for i := range ids {
		ids[i] = vm.ID(fmt.Sprint("cold-", i))
	}
	now := time.Now()
	for b.Loop() {
		for _, id := range ids {
			r.LeaseDeadline(id, now)
		}
	}
}
