package target

import (
	"time"

	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// State is the state of a target as one node assumes it.
type State uint8

// The states of a target. Their numbers are part of the peer protocol.
const (
	// Unverified: the target itself has not reported its state yet, or not
	// since its connections broke or its cold start ended.
	Unverified State = iota
	// Live: it serves at full capacity.
	Live
	// Cold: it started recently and takes only its cold slots.
	Cold
	// Draining: it finishes its open calls and takes no new work.
	Draining
	// Leaving: it is about to be removed and takes no new work.
	Leaving
)

var stateNames = []string{"unverified", "live", "cold", "draining", "leaving"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// ParseState returns the state with the given name, or Unverified if there is
// none.
func ParseState(text string) State {
	for i, name := range stateNames {
		if name == text {
			return State(i)
		}
	}
	return Unverified
}

// Instance identifies one process of a target and is chosen by that process. It
// is empty if the platform's targets do not report one.
type Instance string

// Report is the load report of a target on a response or a probe.
type Report struct {
	// IsPresent reports whether the response carried a report.
	IsPresent bool
	Instance  Instance
	State     State
	// InFlight is the number of calls open at the target, including the one
	// whose response carries the report.
	InFlight int
	// IsDetailed reports whether the target stated the load fields below.
	IsDetailed bool
	// RunningCount and WaitingCount are the numbers of open calls that run and
	// that are queued; Slots is how many run at once.
	RunningCount, WaitingCount, Slots int
	// SlowdownFactor is the current service time divided by the normal one; 1
	// is normal speed.
	SlowdownFactor float64
	// ColdStartRemaining is the remaining time of the cold start; zero if there
	// is none or it was not reported.
	ColdStartRemaining time.Duration
	// IsUnhealthy reports whether the target's health check failed.
	IsUnhealthy bool
	// IsLeaving reports whether the target says that it is about to stop.
	IsLeaving bool
	// RetryAfter is the time for which the target wants no further request from this
	// node; zero if it did not say so.
	RetryAfter time.Duration
	// Limit is the rate limit that the response names.
	Limit RateLimit
	// UnknownHeaders are the names of headers of the protocol between targets and nodes
	// that this version does not know.
	UnknownHeaders []string
	// ReceivedAt is when the headers of the response were received; zero if there was
	// no response.
	ReceivedAt time.Time
}

// Result is the result of an attempt.
type Result uint8

// The results of attempts.
const (
	// Answered: the response was received completely.
	Answered Result = iota
	// ServerFailed: the target responded with a server error (5xx).
	ServerFailed
	// Refused: the target refused the attempt before starting it.
	Refused
	// ConnectFailed: no connection was established; nothing was written.
	ConnectFailed
	// Broken: the connection broke before the response was complete.
	Broken
	// TimedOut: no response was received in time.
	TimedOut
	// Cancelled: this node ended the attempt because another attempt of a
	// hedged call won or the caller disconnected.
	Cancelled
)

var resultNames = [...]string{"answered", "server-failed", "refused", "connect-failed", "broken", "timed-out", "cancelled"}

// String returns the name of the result.
func (r Result) String() string {
	if int(r) >= len(resultNames) {
		return "invalid"
	}
	return resultNames[r]
}

// Ref identifies one target.
type Ref struct {
	ID      vm.ID
	Service service.Name
	Address vm.Address
	Zone    zone.Name
}

// ColdStartLeases holds the cold-start leases of this node, without which it may
// not send to a target in cold start.
type ColdStartLeases interface {
	// LeaseDeadline returns the end of this node's lease on a target's cold
	// slots; ok is false if it holds none at this time.
	LeaseDeadline(id vm.ID, now time.Time) (end time.Time, ok bool)
	// Allow counts one attempt at a target under a lease; it returns false if the
	// rate of attempts at the target allows none now.
	Allow(id vm.ID, now time.Time) bool
}

// noLeases is a ColdStartLeases that never holds a lease.
type noLeases struct{}

func (noLeases) LeaseDeadline(vm.ID, time.Time) (time.Time, bool) { return time.Time{}, false }
func (noLeases) Allow(vm.ID, time.Time) bool                      { return false }

// tick is a time as nanoseconds since the first time passed to the table, at
// least 1. It is an integer because a choice compares many of them.
type tick int64

// entry is the state that a table keeps of one target.
type entry struct {
	ref      Ref
	instance Instance
	// pastInstances holds the last replaced instances, newest first.
	pastInstances [4]Instance
	state         State
	coldSince     time.Time
	// coldUntil is the end of the cold start as the target reported it; zero if
	// unknown.
	coldUntil tick
	// listedLeaving reports whether the platform's list marks the VM as
	// leaving.
	listedLeaving bool
	// slots is how many calls the target runs at once according to the list;
	// zero means the value of the service.
	slots     int
	withdrawn bool
	lane      Lane
	// incarnation is that of the listed VM; zero if unknown.
	incarnation int64
	// saidLeaving reports whether the target's process has said that it is about to
	// stop, and backOffUntil until when it wants no further request from this node.
	saidLeaving  bool
	backOffUntil tick
	limit        limitState
	// addressReused reports whether another process has the target's address.
	addressReused bool
	// sameZone reports whether the target is in the node's zone.
	sameZone bool
	// rank orders the targets differently at each node. isPreferred reports whether
	// the target may be queried for the current choice, see markPreferred.
	rank        uint64
	isPreferred bool
	// unlistedSince is when the target was first missing from the list; zero if
	// it is listed.
	unlistedSince time.Time

	// ownInFlight is the number of this node's open attempts, startTickSum the
	// sum of their start times.
	ownInFlight  int
	startTickSum tick
	// othersInFlight is the number of other nodes' open attempts as of
	// othersReportedAt, according to a report or assumed after a refusal.
	othersInFlight    float64
	othersReportedAt  tick
	avgLatencySeconds float64
	failureRate       float64
	// statsUpdatedAt is when avgLatencySeconds and failureRate were last
	// updated.
	statsUpdatedAt tick

	// report is the last load report and reportedAt the time it was received;
	// sentSinceReport is the number of attempts that this node has started
	// since.
	report          Report
	reportedAt      tick
	sentSinceReport int
	// unansweredAt is when a load query was last left unanswered; zero if a
	// report was received since.
	unansweredAt tick

	consecutiveFailures int
	// ejectionCount is the number of ejections since the last successful trial.
	ejectionCount int
	ejectedUntil  tick
	// trialResponsesRemaining is the number of successful responses that an
	// ejected target still needs; until then it takes one attempt at a time.
	trialResponsesRemaining int
	lastResponseAt          time.Time
	// lastProbeAt is when the target was last probed, or a peer's observation
	// made a probe unnecessary.
	lastProbeAt time.Time
	servedCount int64
}

// acceptsWork reports whether the target's state, the list and the operators
// allow new work.
func (e *entry) acceptsWork() bool {
	if e.withdrawn || e.listedLeaving || e.saidLeaving || e.addressReused || e.lane == LaneClosed {
		return false
	}
	return e.state != Draining && e.state != Leaving
}

// isReplaced reports whether an instance is in pastInstances.
func (e *entry) isReplaced(i Instance) bool {
	if i == "" {
		return false
	}
	for _, past := range e.pastInstances {
		if past == i {
			return true
		}
	}
	return false
}

// replaceInstance resets the entry for a new instance, which is in cold start if
// it replaces a known one. What a peer reported of a target whose instance was not
// known yet stays.
func (e *entry) replaceInstance(i Instance, now time.Time) {
	isReplacement := e.instance != ""
	if isReplacement {
		copy(e.pastInstances[1:], e.pastInstances[:len(e.pastInstances)-1])
		e.pastInstances[0] = e.instance
		e.state = Cold
		e.coldSince = now
	}
	e.instance = i
	e.othersInFlight, e.avgLatencySeconds, e.failureRate = 0, 0, 0
	e.report, e.coldUntil = Report{}, 0
	e.reportedAt, e.sentSinceReport, e.unansweredAt = 0, 0, 0
	e.consecutiveFailures, e.trialResponsesRemaining = 0, 0
	e.ejectedUntil = 0
	if isReplacement {
		e.clearNotices()
	}
}
