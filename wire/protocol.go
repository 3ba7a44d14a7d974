package wire

import (
	"net/http"
	"strconv"
	"time"

	"github.com/apricotmount/apricotmount/target"
)

// Protocol names the headers by which targets and the system understand each
// other; empty fields mean the defaults.
type Protocol struct {
	// InstanceHeader names the target's process on each answer.
	InstanceHeader string
	// StateHeader tells the target's state on each answer.
	StateHeader string
	// InFlightHeader tells how many calls are open at the target.
	InFlightHeader string
	// RefusalHeader with RefusalValue marks an answer that refused the call
	// before it started. No other answer proves that.
	RefusalHeader, RefusalValue string
	// DeadlineHeader hands down the time remaining, in whole milliseconds.
	DeadlineHeader string
	// LoadPath is what a probe asks for.
	LoadPath string
}

// DefaultProtocol is used where settings say nothing else.
var DefaultProtocol = Protocol{
	InstanceHeader: "Target-Instance",
	StateHeader:    "Target-State",
	InFlightHeader: "Target-In-Flight",
	RefusalHeader:  "Target-Refused",
	RefusalValue:   "before-start",
	DeadlineHeader: "Apricot-Deadline-Ms",
	LoadPath:       "/load",
}

// Report reads the load that an answer's headers state.
func (p Protocol) Report(h http.Header) target.Report {
	state := h.Get(p.StateHeader)
	instance := h.Get(p.InstanceHeader)
	if state == "" && instance == "" {
		return target.Report{}
	}
	inFlight, err := strconv.Atoi(h.Get(p.InFlightHeader))
	if err != nil || inFlight < 0 {
		inFlight = 0
	}
	return target.Report{
		Known:    true,
		Instance: target.Instance(instance),
		State:    target.ParseState(state),
		InFlight: inFlight,
	}
}

// Refused reports whether an answer proves that the call was not started.
func (p Protocol) Refused(h http.Header) bool {
	return h.Get(p.RefusalHeader) == p.RefusalValue
}

// SetDeadline writes the time remaining to a request's headers.
func (p Protocol) SetDeadline(h http.Header, remaining time.Duration) {
	h.Set(p.DeadlineHeader, strconv.FormatInt(max(0, remaining.Milliseconds()), 10))
}

// Strip removes the headers that are between targets and the system only.
func (p Protocol) Strip(h http.Header) {
	h.Del(p.InstanceHeader)
	h.Del(p.StateHeader)
	h.Del(p.InFlightHeader)
	h.Del(p.RefusalHeader)
}
