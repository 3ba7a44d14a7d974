package node

import (
	"context"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/vm"
)

// watchVMList reads the platform's VM list periodically. While the list is
// unavailable the last one stays in use.
func (n *Node) watchVMList(ctx context.Context) {
	unavailable := false
	runPeriodically(ctx, n.settings.ListInterval, func() {
		list, err := n.platform.VMLister.List(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !unavailable {
				event.ListAway.Log(n.logger, zap.Error(err))
			}
			unavailable = true
			n.services.refreshTables()
			return
		}
		if unavailable {
			event.ListBack.Log(n.logger)
		}
		unavailable = false
		n.members.SetListedCount(len(list.WithRole(vm.RoleEntry)))
		n.services.applyVMList(list)
	})
}

// refreshTables passes the last VM list to the target tables again, so that time
// limits and expired withdrawals take effect without a new list.
func (r *serviceRegistry) refreshTables() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshTablesLocked()
}

// entryVMs returns the entry nodes on the platform's VM list.
func (r *serviceRegistry) entryVMs() []vm.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.vmList.WithRole(vm.RoleEntry)
}
