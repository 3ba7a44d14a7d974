package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// BenchmarkSetList1000 measures SetList with an unchanged list of 1000 targets.
// A node calls it for each change of one target.
func BenchmarkSetList1000(b *testing.B) {
	table := NewTable(service.Service{Name: "s"}, Settings{ListIsAuthoritative: true})
	list := make([]vm.VM, 1000)
	for i := range list {
		list[i] = vm.VM{ID: vm.ID(fmt.Sprint("target-", i)), Address: vm.Address(fmt.Sprint("10.0.0.1:", i)), Slots: 6, State: vm.StateLive}
	}
	noneWithdrawn := func(vm.ID, zone.Name) bool { return false }
	now := time.Now()
	for b.Loop() {
		table.SetList(now, list, noneWithdrawn)
	}
}
