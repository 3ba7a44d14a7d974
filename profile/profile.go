package profile

import "time"

// Name is the name of a profile, unique in the configuration.
type Name string

// Urgency orders work when there is not room for all of it.
type Urgency uint8

// The urgencies, from the first served to the first shed.
const (
	Urgent Urgency = iota
	Normal
	Patient
	// Urgencies is the number of urgencies.
	UrgencyCount
)

var urgencyNames = [UrgencyCount]string{"urgent", "normal", "patient"}

// String returns the written name of the urgency.
func (u Urgency) String() string {
	if u >= UrgencyCount {
		return "invalid"
	}
	return urgencyNames[u]
}

// Profile is how one kind of traffic is served.
type Profile struct {
	Name    Name    `cbor:"name"`
	Urgency Urgency `cbor:"urgency"`
	// Idempotent says that a call may run more than once without harm.
	Idempotent bool `cbor:"idempotent"`
	// Deadline is the most time a call may take in all.
	CallTimeout time.Duration `cbor:"deadline"`
	// Objective is the time within which an answer is wanted; zero means that
	// none is stated.
	LatencyObjective time.Duration `cbor:"objective,omitempty"`
	// AttemptTimeout is the most time one attempt may take to its first byte.
	AttemptTimeout time.Duration `cbor:"attempt-timeout"`
	// QueueWait is the most time a call may wait for room at a target.
	QueueTimeout time.Duration `cbor:"queue-wait"`
	// Retries is the most attempts after the first, over the whole chain of
	// calls; it is spent on a non-idempotent call only where nothing ran.
	MaxRetries int `cbor:"retries"`
	// Hedge allows a second attempt while the first is still open.
	Hedge bool `cbor:"hedge"`
	// HedgePercentile is the observed percentile of latency after which a
	// hedge is sent, in percent.
	HedgePercentile float64 `cbor:"hedge-percentile"`
	// KeyWindow is how long an idempotency key keeps its meaning; zero means
	// that calls carry no key.
	KeyWindow time.Duration `cbor:"key-window"`
	// RequireKey refuses calls that carry no idempotency key.
	RequireKey bool `cbor:"require-key"`
}

// Keyed reports whether calls of the profile are claimed by idempotency key.
func (p *Profile) UsesIdempotencyKeys() bool {
	return !p.Idempotent && p.KeyWindow > 0
}
