package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/vm"
)

// ErrListAway is what the list of VMs answers while it is down.
var ErrListUnavailable = eris.New("the list of VMs is away")

// List is the platform's list of VMs; readers see it as it was some time ago.
// It is a vm.Lister.
type List struct {
	// Lag is how old the list is that readers see.
	Lag time.Duration

	mu      sync.Mutex
	history []listed
	down    bool
}

type listed struct {
	at   time.Time
	list vm.List
}

// SetDown makes reads fail, or work again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Put adds a VM or changes what is said of it.
func (l *List) Put(v vm.VM) {
	l.change(func(vms []vm.VM) []vm.VM {
		vms = slices.DeleteFunc(vms, func(o vm.VM) bool { return o.ID == v.ID })
		return append(vms, v)
	})
}

// Remove takes a VM off the list.
func (l *List) Remove(id vm.ID) {
	l.change(func(vms []vm.VM) []vm.VM {
		return slices.DeleteFunc(vms, func(o vm.VM) bool { return o.ID == id })
	})
}

func (l *List) change(f func([]vm.VM) []vm.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var now []vm.VM
	if n := len(l.history); n > 0 {
		now = slices.Clone(l.history[n-1].list.VMs)
	}
	l.history = append(l.history, listed{at: time.Now(), list: vm.List{VMs: f(now)}})
}

// List returns the list as it was Lag ago; before that long has passed, as it
// was at first.
func (l *List) List(context.Context) (list vm.List, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return vm.List{}, ErrListUnavailable
	}
	if len(l.history) == 0 {
		return vm.List{}, nil
	}
	seen := time.Now().Add(-l.Lag)
	for len(l.history) > 1 && !l.history[1].at.After(seen) {
		l.history = l.history[1:]
	}
	return l.history[0].list, nil
}
