package profile

import (
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/apricotmount/apricotmount/unit"
)

// Document is a profile as operators write it. Durations are texts with a unit,
// and absent values select the defaults.
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

// Defaults and bounds of the values of a profile. Percentiles are in percent.
const (
	DefaultCallTimeout     = 2 * time.Second
	DefaultQueueTimeout    = 200 * time.Millisecond
	DefaultMaxRetries      = 2
	DefaultHedgePercentile = 92
	maxCallTimeout         = time.Hour
	maxRetries             = 5
	minHedgePercentile     = 50
	maxHedgePercentile     = 99.9
	minKeyWindow           = time.Minute
	maxKeyWindow           = 7 * 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName reports whether text is in kebab case and has 1 to 63 characters.
func ValidName(text string) bool {
	return namePattern.MatchString(text)
}

// Parse validates doc and returns its profile. The error is a fault.List with
// every invalid field.
func Parse(doc Document) (p Profile, err error) {
	var parser unit.Parser
	if !ValidName(string(doc.Name)) {
		parser.Faults.Add("name", "%q is not kebab case of 1 to 63 characters", doc.Name)
	}
	p = Profile{
		Name:            doc.Name,
		Urgency:         parseUrgency(&parser, doc.Urgency),
		Idempotent:      doc.Idempotent,
		CallTimeout:     parser.Duration("deadline", doc.Deadline, DefaultCallTimeout),
		QueueTimeout:    parser.Duration("queue-wait", doc.QueueWait, DefaultQueueTimeout),
		Hedge:           doc.Hedge,
		HedgePercentile: doc.HedgePercentile,
		KeyWindow:       parser.Duration("key-window", doc.KeyWindow, 0),
		RequireKey:      doc.RequireKey,
	}
	parser.CheckDuration("deadline", p.CallTimeout, time.Millisecond, maxCallTimeout)
	p.AttemptTimeout = parser.Duration("attempt-timeout", doc.AttemptTimeout, p.CallTimeout)
	parser.CheckDuration("attempt-timeout", p.AttemptTimeout, time.Millisecond, p.CallTimeout)
	parser.CheckDuration("queue-wait", p.QueueTimeout, 0, p.CallTimeout)
	p.MaxRetries = parseRetries(&parser, doc)
	parseHedge(&parser, &p)
	checkKeyWindow(&parser, &p)
	return p, parser.Faults.Err()
}

func parseUrgency(parser *unit.Parser, text string) Urgency {
	if text == "" {
		return Normal
	}
	i := slices.Index(urgencyNames[:], text)
	if i < 0 {
		parser.Faults.Add("urgency", "%q is not one of %s", text, strings.Join(urgencyNames[:], ", "))
		return Normal
	}
	return Urgency(i)
}

func parseRetries(parser *unit.Parser, doc Document) int {
	if doc.Retries == nil {
		if doc.Idempotent {
			return DefaultMaxRetries
		}
		return 0
	}
	n := *doc.Retries
	parser.CheckInt("retries", n, 0, maxRetries)
	if n > 0 && !doc.Idempotent {
		parser.Faults.Add("retries", "%d on a profile that is not idempotent; a retry could run the call twice", n)
	}
	return n
}

func parseHedge(parser *unit.Parser, p *Profile) {
	if p.HedgePercentile == 0 {
		p.HedgePercentile = DefaultHedgePercentile
	}
	if p.HedgePercentile < minHedgePercentile || p.HedgePercentile > maxHedgePercentile {
		parser.Faults.Add("hedge-percentile", "%g lies outside %d to %g", p.HedgePercentile, minHedgePercentile, maxHedgePercentile)
	}
	if p.Hedge && !p.Idempotent {
		parser.Faults.Add("hedge", "true on a profile that is not idempotent; a hedge could run the call twice")
	}
}

func checkKeyWindow(parser *unit.Parser, p *Profile) {
	if p.KeyWindow != 0 {
		parser.CheckDuration("key-window", p.KeyWindow, minKeyWindow, maxKeyWindow)
	}
	if p.KeyWindow != 0 && p.Idempotent {
		parser.Faults.Add("key-window", "set on an idempotent profile; keys guard only calls that must not run twice")
	}
	if p.RequireKey && p.KeyWindow == 0 {
		parser.Faults.Add("require-key", "true without a key-window")
	}
}

// Document returns the profile as a document that Parse accepts.
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
