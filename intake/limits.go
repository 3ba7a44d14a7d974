package intake

import "time"

// Limits bound the head of one request, and the time between two requests of a connection.
type Limits struct {
	// HeadBytes is the maximum length of the names and values of a head, in bytes; zero means
	// DefaultHeadBytes.
	HeadBytes int64
	// HeadTime is the time from the first byte of a head to its last one; zero means
	// DefaultHeadTime.
	HeadTime time.Duration
	// IdleTime is how long clients may leave a connection idle and then send a request; zero
	// means no limit. Connections that are idle for longer give way to new ones.
	IdleTime time.Duration
}

const (
	// DefaultHeadBytes is the limit of net/http.
	DefaultHeadBytes = 1 << 20
	// DefaultHeadTime is the time for a head while no configuration states one.
	DefaultHeadTime = 30 * time.Second
)

// WithDefaults returns the limits with defaults in place of zero values.
func (l Limits) WithDefaults() Limits {
	if l.HeadBytes <= 0 {
		l.HeadBytes = DefaultHeadBytes
	}
	if l.HeadTime <= 0 {
		l.HeadTime = DefaultHeadTime
	}
	return l
}

// Max returns the larger one of each limit. A head that began under other limits than those in
// force keeps to either.
func (l Limits) Max(other Limits) Limits {
	return Limits{HeadBytes: max(l.HeadBytes, other.HeadBytes), HeadTime: max(l.HeadTime, other.HeadTime), IdleTime: max(l.IdleTime, other.IdleTime)}
}

// Relayed returns the limits of a head that was sent on by another node, which adds lines of its own
// within the limits added, and a space between a name and its value.
func (l Limits) Relayed(added Limits) Limits {
	return Limits{HeadBytes: 2*l.WithDefaults().HeadBytes + added.HeadBytes, HeadTime: added.HeadTime, IdleTime: added.IdleTime}
}

// Refusal is the reason why a request is refused before its head is parsed, or why a connection
// is closed.
type Refusal string

// The reasons.
const (
	// HeadTooLong and HeadTooSlow: the client broke a limit.
	HeadTooLong Refusal = "head-too-long"
	HeadTooSlow Refusal = "head-too-slow"
	// NoMemory: the heads of all connections take as much memory as they may.
	NoMemory Refusal = "no-memory"
	// NoConnection: the port has as many connections as it may.
	NoConnection Refusal = "no-connection"
)

// Refusals lists the reasons.
var Refusals = []Refusal{HeadTooLong, HeadTooSlow, NoMemory, NoConnection}

// Status returns the status of a refusal. Clients do not retry after 431, so it is for clients
// that broke a limit; 408 and 503 state that the request has not run.
func (r Refusal) Status() int {
	switch r {
	case HeadTooLong:
		return 431
	case HeadTooSlow:
		return 408
	default:
		return 503
	}
}
