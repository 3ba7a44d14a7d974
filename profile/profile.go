package profile

import "time"

// Name is the name of a profile. It is unique in the configuration.
type Name string

// Urgency is the priority of calls when capacity does not suffice for all of
// them. A lower value is served first and shed last.
type Urgency uint8

// The urgencies, in the order in which calls are served. Calls are shed in the
// reverse order.
const (
	Urgent Urgency = iota
	Normal
	Patient
	// UrgencyCount is the number of urgencies.
	UrgencyCount
)

var urgencyNames = [UrgencyCount]string{"urgent", "normal", "patient"}

// String returns the name of the urgency as used in documents, or "invalid".
func (u Urgency) String() string {
	if u >= UrgencyCount {
		return "invalid"
	}
	return urgencyNames[u]
}

// Profile is the validated form of a Document.
type Profile struct {
	Name    Name    `cbor:"name"`
	Urgency Urgency `cbor:"urgency"`
	// Idempotent states that a call may be executed more than once without harm.
	Idempotent bool `cbor:"idempotent"`
	// CallTimeout is the maximum total duration of a call.
	CallTimeout time.Duration `cbor:"deadline"`
	// LatencyObjective is the duration within which a call should get its
	// response. Zero means that there is none. A Document cannot set it; it is part
	// of plans only.
	LatencyObjective time.Duration `cbor:"objective,omitempty"`
	// AttemptTimeout is the maximum time from the start of an attempt to the
	// first byte of its response.
	AttemptTimeout time.Duration `cbor:"attempt-timeout"`
	// QueueTimeout is the maximum time that a call waits for capacity at a target.
	QueueTimeout time.Duration `cbor:"queue-wait"`
	// MaxRetries is the maximum number of attempts after the first. Calls that the
	// target makes in turn through a node share this number with the call. A call
	// that is not idempotent is retried only if the previous attempt did not run.
	MaxRetries int `cbor:"retries"`
	// Hedge allows a second attempt while the first is still in flight.
	Hedge bool `cbor:"hedge"`
	// HedgePercentile is the percentile of the observed latency, in percent,
	// after which a hedge is sent.
	HedgePercentile float64 `cbor:"hedge-percentile"`
	// KeyWindow is how long an idempotency key stays valid. Zero disables
	// idempotency keys: a key that a caller sends is ignored.
	KeyWindow time.Duration `cbor:"key-window"`
	// RequireKey rejects calls without an idempotency key.
	RequireKey bool `cbor:"require-key"`
}

// UsesIdempotencyKeys reports whether a call with an idempotency key needs a claim
// on the key.
func (p *Profile) UsesIdempotencyKeys() bool {
	return !p.Idempotent && p.KeyWindow > 0
}
