package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/vm"
)

// ErrListUnavailable is the error of reads of the list of VMs while it is down.
var ErrListUnavailable = eris.New("the list of VMs is unavailable")

// List is a stand-in for the platform's list of VMs. It is a vm.Lister whose
// readers get a stale version.
type List struct {
	// Lag is the age of the version that readers get.
	Lag time.Duration

	mu      sync.Mutex
	history []listVersion
	down    bool
}

type listVersion struct {
	at   time.Time
	list vm.List
}

// SetDown sets whether reads fail.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Put adds a VM, or replaces the VM with the same ID.
func (l *List) Put(v vm.VM) {
	l.update(func(vms []vm.VM) []vm.VM {
		vms = slices.DeleteFunc(vms, func(o vm.VM) bool { return o.ID == v.ID })
		return append(vms, v)
	})
}

// Remove removes a VM from the list.
func (l *List) Remove(id vm.ID) {
	l.update(func(vms []vm.VM) []vm.VM {
		return slices.DeleteFunc(vms, func(o vm.VM) bool { return o.ID == id })
	})
}

func (l *List) update(f func([]vm.VM) []vm.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var current []vm.VM
	if n := len(l.history); n > 0 {
		current = slices.Clone(l.history[n-1].list.VMs)
	}
	l.history = append(l.history, listVersion{at: time.Now(), list: vm.List{VMs: f(current)}})
}

// List returns the version of Lag ago, or the first version if none is that old.
func (l *List) List(context.Context) (list vm.List, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return vm.List{}, ErrListUnavailable
	}
	if len(l.history) == 0 {
		return vm.List{}, nil
	}
	asOf := time.Now().Add(-l.Lag)
	for len(l.history) > 1 && !l.history[1].at.After(asOf) {
		l.history = l.history[1:]
	}
	return l.history[0].list, nil
}
