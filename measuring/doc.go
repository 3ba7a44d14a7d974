// Package measuring limits the cost of measuring load.
//
// Each node has one Budget. Every probe, load query and verification of a new
// connection is charged to it before it is sent, and every refusal used as a
// probe before the call tries another target. The budget is configured as
// messages, bytes, target time and refusals per second.
package measuring
