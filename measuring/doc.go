// Package measuring keeps the one ledger of what measuring load costs.
//
// Every probe, report request and refusal used as a probe passes through the
// ledger before it is made. The budget is agreed in settings: messages, bytes
// and target time per second.
package measuring
