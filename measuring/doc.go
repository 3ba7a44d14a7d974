// Package measuring limits the cost of measuring load.
//
// Every probe, load query and refusal used as a probe is charged to one Budget
// per node before it is sent. The budget is set in the settings, as messages,
// bytes, target time and refusals per second.
package measuring
