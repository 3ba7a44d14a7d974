package listener

import (
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/intake"
)

// Ports holds what the ports of a node share: the memory for heads and the descriptors.
type Ports struct {
	shares    intake.Shares
	budget    *intake.Budget
	callers   func() intake.Limits
	logger    *zap.Logger
	onRefusal func(intake.Refusal)
}

// NewPorts returns the ports of a node. callers returns the limits of its callers at present; logger
// and onRefusal, if set, are those of each Intake. Without a number of descriptors in shares, that
// of the system applies.
func NewPorts(shares intake.Shares, callers func() intake.Limits, logger *zap.Logger, onRefusal func(intake.Refusal)) *Ports {
	if shares.Descriptors == 0 {
		shares.Descriptors = descriptorLimit()
	}
	return &Ports{shares: shares, budget: intake.NewBudget(shares.HeadBudget()), callers: callers, logger: logger, onRefusal: onRefusal}
}

// innerLimits bound the heads of requests to the ports that callers do not use.
var innerLimits = intake.Limits{HeadBytes: 64 << 10, HeadTime: 5 * time.Second, IdleTime: 5 * time.Second}

// Callers returns the bounds of the port for callers.
func (p *Ports) Callers() Intake { return p.intake(p.callers, p.shares.CallerConnections()) }

// Peers returns the bounds of the port between nodes, which carries whatever callers may send and
// the headers of the sender.
func (p *Ports) Peers() Intake {
	limits := func() intake.Limits { return p.callers().Relayed(innerLimits) }
	return p.intake(limits, p.shares.PeerConnections())
}

// Small returns the bounds of a port for operators, checks or scrapes.
func (p *Ports) Small() Intake {
	return p.intake(func() intake.Limits { return innerLimits }, p.shares.SmallPortConnections())
}

func (p *Ports) intake(limits func() intake.Limits, maxConnections int) Intake {
	return Intake{Limits: limits, Budget: p.budget, MaxConnections: maxConnections, Logger: p.logger, OnRefusal: p.onRefusal}
}
