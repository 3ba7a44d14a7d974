package wire

import (
	"net/http"
	"strconv"
	"strings"
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
	// LoadHeader tells on answers how many calls run and wait at the target, how
	// many it runs at once and, in percent of the usual time, how long work takes
	// now: "running,waiting,slots,pace"; the last may be missing.
	LoadHeader string
	// ColdHeader tells on probes how long the target stays cold, in milliseconds.
	ColdHeader string
	// ExpectHeader names to the target the instance that the call is meant for;
	// another one refuses it with 421.
	ExpectHeader string
	// IDHeader is echoed by targets: an answer with another value, or none,
	// belongs to another call.
	IDHeader string
	// ProofHeader is on each answer that a target made itself; one of success
	// without it is not taken.
	ProofHeader string
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
func (p Protocol) ParseReport(h http.Header) target.Report {
	if p.LoadHeader != "" {
		return p.detailedReport(h)
	}
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
		IsPresent: true,
		Instance:  target.Instance(instance),
		State:     target.ParseState(state),
		InFlight:  inFlight,
	}
}

// usualPace is the pace of a target whose work takes as long as usual, in percent.
const usualPace = 100

// detailedReport reads the load header.
func (p Protocol) detailedReport(h http.Header) target.Report {
	r := target.Report{Instance: target.Instance(h.Get(p.InstanceHeader)), SlowdownFactor: 1}
	r.IsPresent = r.Instance != ""
	if cold, err := strconv.ParseFloat(h.Get(p.ColdHeader), 64); err == nil && cold > 0 {
		r.State = target.Cold
		r.ColdStartRemaining = time.Duration(cold * float64(time.Millisecond))
	} else if r.IsPresent {
		r.State = target.Live
	}
	fields := strings.Split(h.Get(p.LoadHeader), ",")
	if len(fields) < loadFields {
		return r
	}
	for i, into := range []*int{&r.RunningCount, &r.WaitingCount, &r.Slots} {
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil || n < 0 {
			return r
		}
		*into = n
	}
	if len(fields) > loadFields {
		if pace, err := strconv.ParseFloat(strings.TrimSpace(fields[loadFields]), 64); err == nil && pace > 0 {
			r.SlowdownFactor = pace / usualPace
		}
	}
	r.IsPresent, r.IsDetailed = true, true
	r.InFlight = r.RunningCount + r.WaitingCount
	return r
}

// loadFields is how many figures a load header has at least.
const loadFields = 3

// Refused reports whether an answer proves that the call was not started.
func (p Protocol) IsRefusal(resp *http.Response) bool {
	if p.ExpectHeader != "" && resp.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	value, marked := resp.Header[http.CanonicalHeaderKey(p.RefusalHeader)]
	return marked && (p.RefusalValue == "" || value[0] == p.RefusalValue)
}

// Misdirected reports whether another process than the expected one answered.
func (p Protocol) IsMisdirected(resp *http.Response) bool {
	return p.ExpectHeader != "" && resp.StatusCode == http.StatusMisdirectedRequest
}

// echoed reports whether an answer carries the call's ID; a refusal may carry
// none, but not another one.
func (p Protocol) echoed(sent http.Header, resp *http.Response) bool {
	id := resp.Header.Get(p.IDHeader)
	return id == sent.Get(p.IDHeader) || id == "" && p.IsRefusal(resp)
}

// Genuine reports whether an answer belongs to the call and was made by a
// target.
func (p Protocol) IsGenuine(sent http.Header, resp *http.Response) bool {
	if p.IDHeader != "" && !p.echoed(sent, resp) {
		return false
	}
	success := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	return p.ProofHeader == "" || !success || resp.Header.Get(p.ProofHeader) != ""
}

// SetDeadline writes the time remaining to a request's headers.
func (p Protocol) SetDeadline(h http.Header, remaining time.Duration) {
	h.Set(p.DeadlineHeader, strconv.FormatInt(max(0, remaining.Milliseconds()), 10))
}

// Strip removes the headers that are between targets and the system only.
func (p Protocol) StripHeaders(h http.Header) {
	h.Del(p.InstanceHeader)
	h.Del(p.StateHeader)
	h.Del(p.InFlightHeader)
	h.Del(p.LoadHeader)
	h.Del(p.RefusalHeader)
}
