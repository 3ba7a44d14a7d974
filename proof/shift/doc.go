// Package shift measures target selection, queueing and refusal when the speed of the
// targets changes faster than load reports arrive. The targets become several times
// slower and recover within a few hundred milliseconds, and have few slots and a short
// queue. The product's decision code runs against fake targets on the clock of
// testing/synctest, and is compared with baselines and with variants of itself that
// lack one part.
package shift
