package target

import (
	"time"

	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// State is what a target is believed to be doing.
type State uint8

// The states of a target.
const (
	// Unverified: nothing has been heard from the target itself yet.
	Unverified State = iota
	// Live: it serves at full strength.
	Live
	// Cold: it has just started and can bear only its cold slots.
	Cold
	// Draining: it finishes what it has and takes no new work.
	Draining
	// Leaving: it is about to go away and takes no new work.
	Leaving
)

var stateNames = []string{"unverified", "live", "cold", "draining", "leaving"}

// String returns the state's name.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// ParseState returns the state of a written name, or Unverified.
func ParseState(text string) State {
	for i, name := range stateNames {
		if name == text {
			return State(i)
		}
	}
	return Unverified
}

// Instance is the name that a target's process gives itself; empty if the
// platform's targets do not tell.
type Instance string

// Report is the load that a target states on an answer or a probe.
type Report struct {
	// Known says that there was a report at all.
	Known    bool
	Instance Instance
	State    State
	// InFlight is how many calls were open at the target, this one included.
	InFlight int
	// Detailed says that the fields below were stated.
	Detailed bool
	// Running and Waiting split the open calls; Slots is how many run at once.
	Running, Waiting, Slots int
	// Pace is how many times longer than usual work takes now; 1 is usual.
	Pace float64
	// ColdLeft is how long the target stays in cold start; zero if it is not or does
	// not say.
	ColdLeft time.Duration
	// Unwell says that the target's health check failed.
	Unwell bool
}

// Result is how an attempt ended.
type Result uint8

// The results of attempts.
const (
	// Answered: the target answered whole.
	Answered Result = iota
	// ServerFailed: the target answered that it failed (5xx).
	ServerFailed
	// Refused: the target refused before it started.
	Refused
	// ConnectFailed: no connection could be had; nothing was written.
	ConnectFailed
	// Broken: the connection broke before the answer was whole.
	Broken
	// TimedOut: no answer came in time.
	TimedOut
	// Cancelled: this node ended the attempt, as a hedge's loser or for a
	// caller that went away.
	Cancelled
)

var resultNames = [...]string{"answered", "server-failed", "refused", "connect-failed", "broken", "timed-out", "cancelled"}

// String returns the result's name.
func (r Result) String() string {
	if int(r) >= len(resultNames) {
		return "invalid"
	}
	return resultNames[r]
}

// Ref names one target.
type Ref struct {
	ID      vm.ID
	Service service.Name
	Address vm.Address
	Zone    zone.Name
}

// Rights tells whether this node may send to a target in cold start.
type Rights interface {
	// Until returns the end of the node's right to a target's cold slots; ok is
	// false if it has none at this instant.
	Until(id vm.ID, now time.Time) (end time.Time, ok bool)
}

// Taker is a Rights that counts what is sent to targets in cold start.
type Taker interface {
	// Take books one attempt; it reports false if none may start now.
	Take(id vm.ID, now time.Time) bool
}

// noRights grants nothing.
type noLeases struct{}

func (noLeases) Until(vm.ID, time.Time) (time.Time, bool) { return time.Time{}, false }

// tick is an instant as nanoseconds since the table's first, at least 1; a
// choice compares many of them.
type tick int64

// entry is what a table holds of one target.
type entry struct {
	ref           Ref
	instance      Instance
	pastInstances [4]Instance
	state         State
	coldSince     time.Time
	// coldUntil is when cold start ends by the target's own word; zero if unknown.
	coldUntil tick
	// listLeaving is the platform's word that the VM is leaving.
	listedLeaving bool
	// slots is how many calls the target runs at once by the list; zero means
	// the service's.
	slots     int
	withdrawn bool
	// displaced says that another process has the target's address.
	addressReused bool
	// sameZone says that the target is in the node's own zone.
	sameZone bool
	// unlistedSince is when the list first lacked the target; zero if listed.
	unlistedSince time.Time

	// own is how many attempts are open, startSum the sum of their starts.
	ownInFlight       int
	startTickSum      tick
	othersInFlight    float64
	othersReportedAt  tick
	avgLatencySeconds float64
	failureRate       float64
	// judgedAt is when latency and failures were last learnt.
	statsUpdatedAt tick

	// seen is the last detailed report and seenAt when it came; sentSince is how
	// many attempts this node has started since.
	report          Report
	reportedAt      tick
	sentSinceReport int
	// muteAt is when a question was last left unanswered; zero if none since the
	// last answer.
	unansweredAt tick

	consecutiveFailures int
	ejectionCount       int
	ejectedUntil        tick
	trialRemaining      int
	lastResponseAt      time.Time
	lastProbeAt         time.Time
	servedCount         int64
}

// takesWork reports whether state and operators allow new work at all.
func (e *entry) acceptsWork() bool {
	if e.withdrawn || e.listedLeaving || e.addressReused {
		return false
	}
	return e.state != Draining && e.state != Leaving
}

// isPast reports whether an instance is known to have been replaced.
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

// replaceInstance starts over with a new process on the same address.
func (e *entry) replaceInstance(i Instance, now time.Time) {
	if e.instance != "" {
		copy(e.pastInstances[1:], e.pastInstances[:len(e.pastInstances)-1])
		e.pastInstances[0] = e.instance
		e.state = Cold
		e.coldSince = now
	}
	e.instance = i
	e.othersInFlight, e.avgLatencySeconds, e.failureRate = 0, 0, 0
	e.reportedAt, e.sentSinceReport, e.unansweredAt = 0, 0, 0
	e.consecutiveFailures, e.trialRemaining = 0, 0
	e.ejectedUntil = 0
}
