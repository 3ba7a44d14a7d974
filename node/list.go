package node

import (
	"context"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/vm"
)

// watchList reads the platform's list.
func (n *Node) watchList(ctx context.Context) {
	away := false
	every(ctx, n.settings.ListInterval, func() {
		list, err := n.platform.VMLister.List(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !away {
				event.ListAway.Log(n.logger, zap.Error(err))
			}
			away = true
			n.fleet.again()
			return
		}
		if away {
			event.ListBack.Log(n.logger)
		}
		away = false
		n.members.SetListedCount(len(list.WithRole(vm.RoleEntry)))
		n.fleet.setList(list)
	})
}

// again hands the last list to the tables once more, so that times pass.
func (f *fleet) again() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
}

// entryVMs returns the entry nodes on the platform's list.
func (f *fleet) entryVMs() []vm.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list.WithRole(vm.RoleEntry)
}
