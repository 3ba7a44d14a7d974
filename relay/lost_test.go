package relay

import (
	"context"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
)

// lostPath is a path that is lost all the time.
type lostPath struct{}

func (lostPath) IsLost() bool    { return true }
func (lostPath) IsInDoubt() bool { return true }

func (lostPath) Lost() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// newLostService returns a service without a path to its targets.
func newLostService() *dispatch.Service {
	return &dispatch.Service{
		Table: target.NewTable(service.Service{Name: "a"}, target.Settings{}), Gate: admission.NewPool(0).AddGate(0),
		RetryBudget: &retry.Budget{}, HedgeBudget: &retry.Budget{}, Latencies: &retry.LatencyWindow{}, Path: lostPath{},
	}
}
