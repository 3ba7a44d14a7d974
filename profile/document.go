package profile

import (
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/apricotmount/apricotmount/unit"
)

// Document is a profile as people write it.
type Document struct {
	Name            Name    `json:"name" yaml:"name"`
	Urgency         string  `json:"urgency,omitempty" yaml:"urgency,omitempty"`
	Idempotent      bool    `json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	Deadline        string  `json:"deadline,omitempty" yaml:"deadline,omitempty"`
	AttemptTimeout  string  `json:"attempt-timeout,omitempty" yaml:"attempt-timeout,omitempty"`
	QueueWait       string  `json:"queue-wait,omitempty" yaml:"queue-wait,omitempty"`
	Retries         *int    `json:"retries,omitempty" yaml:"retries,omitempty"`
	Hedge           bool    `json:"hedge,omitempty" yaml:"hedge,omitempty"`
	HedgePercentile float64 `json:"hedge-percentile,omitempty" yaml:"hedge-percentile,omitempty"`
	KeyWindow       string  `json:"key-window,omitempty" yaml:"key-window,omitempty"`
	RequireKey      bool    `json:"require-key,omitempty" yaml:"require-key,omitempty"`
}

// Defaults and bounds of a profile's values.
const (
	DefaultCallTimeout     = 2 * time.Second
	DefaultQueueTimeout    = 200 * time.Millisecond
	DefaultMaxRetries      = 2
	DefaultHedgePercentile = 92
	maxDeadline            = time.Hour
	maxRetries             = 5
	minHedgePercentile     = 50
	maxHedgePercentile     = 99.9
	minKeyWindow           = time.Minute
	maxKeyWindow           = 7 * 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName reports whether text is kebab case of at most 63 characters.
func ValidName(text string) bool {
	return namePattern.MatchString(text)
}

// Parse checks a document whole and returns the profile it describes; the
// error is a fault.List that names each field at fault.
func Parse(doc Document) (p Profile, err error) {
	var r unit.Parser
	if !ValidName(string(doc.Name)) {
		r.Faults.Add("name", "%q is not kebab case of 1 to 63 characters", doc.Name)
	}
	p = Profile{
		Name:            doc.Name,
		Urgency:         parseUrgency(&r, doc.Urgency),
		Idempotent:      doc.Idempotent,
		CallTimeout:     r.Duration("deadline", doc.Deadline, DefaultCallTimeout),
		QueueTimeout:    r.Duration("queue-wait", doc.QueueWait, DefaultQueueTimeout),
		Hedge:           doc.Hedge,
		HedgePercentile: doc.HedgePercentile,
		KeyWindow:       r.Duration("key-window", doc.KeyWindow, 0),
		RequireKey:      doc.RequireKey,
	}
	r.CheckDuration("deadline", p.CallTimeout, time.Millisecond, maxDeadline)
	p.AttemptTimeout = r.Duration("attempt-timeout", doc.AttemptTimeout, p.CallTimeout)
	r.CheckDuration("attempt-timeout", p.AttemptTimeout, time.Millisecond, p.CallTimeout)
	r.CheckDuration("queue-wait", p.QueueTimeout, 0, p.CallTimeout)
	p.MaxRetries = parseRetries(&r, doc)
	parseHedge(&r, &p)
	parseKey(&r, &p)
	return p, r.Faults.Err()
}

func parseUrgency(r *unit.Parser, text string) Urgency {
	if text == "" {
		return Normal
	}
	i := slices.Index(urgencyNames[:], text)
	if i < 0 {
		r.Faults.Add("urgency", "%q is not one of %s", text, strings.Join(urgencyNames[:], ", "))
		return Normal
	}
	return Urgency(i)
}

func parseRetries(r *unit.Parser, doc Document) int {
	if doc.Retries == nil {
		if doc.Idempotent {
			return DefaultMaxRetries
		}
		return 0
	}
	n := *doc.Retries
	r.CheckInt("retries", n, 0, maxRetries)
	if n > 0 && !doc.Idempotent {
		r.Faults.Add("retries", "%d on a profile that is not idempotent; a retry could run the call twice", n)
	}
	return n
}

func parseHedge(r *unit.Parser, p *Profile) {
	if p.HedgePercentile == 0 {
		p.HedgePercentile = DefaultHedgePercentile
	}
	if p.HedgePercentile < minHedgePercentile || p.HedgePercentile > maxHedgePercentile {
		r.Faults.Add("hedge-percentile", "%g lies outside %d to %g", p.HedgePercentile, minHedgePercentile, maxHedgePercentile)
	}
	if p.Hedge && !p.Idempotent {
		r.Faults.Add("hedge", "true on a profile that is not idempotent; a hedge could run the call twice")
	}
}

func parseKey(r *unit.Parser, p *Profile) {
	if p.KeyWindow != 0 {
		r.CheckDuration("key-window", p.KeyWindow, minKeyWindow, maxKeyWindow)
	}
	if p.KeyWindow != 0 && p.Idempotent {
		r.Faults.Add("key-window", "set on an idempotent profile; keys guard only calls that must not run twice")
	}
	if p.RequireKey && p.KeyWindow == 0 {
		r.Faults.Add("require-key", "true without a key-window")
	}
}

// Written returns the profile as a document that Parse accepts.
func (p *Profile) Document() Document {
	n := p.MaxRetries
	return Document{
		Name:            p.Name,
		Urgency:         p.Urgency.String(),
		Idempotent:      p.Idempotent,
		Deadline:        unit.Format(p.CallTimeout),
		AttemptTimeout:  unit.Format(p.AttemptTimeout),
		QueueWait:       p.QueueTimeout.String(),
		Retries:         &n,
		Hedge:           p.Hedge,
		HedgePercentile: p.HedgePercentile,
		KeyWindow:       unit.Format(p.KeyWindow),
		RequireKey:      p.RequireKey,
	}
}
