package service

import (
	"strings"
	"time"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/unit"
)

// Name is the name of a service, unique in the configuration.
type Name string

// Service is a set of like targets and the calls that go to them.
type Service struct {
	Name    Name         `cbor:"name"`
	Profile profile.Name `cbor:"profile"`
	// Host is the request's host that selects the service; empty means any.
	Host string `cbor:"host"`
	// PathPrefix is the path prefix that selects the service; empty means any.
	PathPrefix string `cbor:"path-prefix"`
	// Slots is how many calls one warm target serves at once.
	Slots int `cbor:"slots"`
	// Connections is how many connections one target takes from all nodes.
	MaxConnections int `cbor:"connections"`
	// ColdSlots is how many calls a target in cold start can bear at once,
	// summed over all nodes.
	ColdSlots int `cbor:"cold-slots"`
	// ColdPeriod is how long a target stays in cold start if it does not say.
	ColdPeriod time.Duration `cbor:"cold-period"`
	// ProbeCost is the target time that one probe takes.
	ProbeCost time.Duration `cbor:"probe-cost"`
	// QueueLength is the most calls that wait in one node for this service.
	MaxQueueLength int `cbor:"queue-length"`
}

// Document is a service as people write it.
type Document struct {
	Name        Name         `json:"name" yaml:"name"`
	Profile     profile.Name `json:"profile" yaml:"profile"`
	Host        string       `json:"host,omitempty" yaml:"host,omitempty"`
	PathPrefix  string       `json:"path-prefix,omitempty" yaml:"path-prefix,omitempty"`
	Slots       int          `json:"slots,omitempty" yaml:"slots,omitempty"`
	Connections int          `json:"connections,omitempty" yaml:"connections,omitempty"`
	ColdSlots   int          `json:"cold-slots,omitempty" yaml:"cold-slots,omitempty"`
	ColdPeriod  string       `json:"cold-period,omitempty" yaml:"cold-period,omitempty"`
	ProbeCost   string       `json:"probe-cost,omitempty" yaml:"probe-cost,omitempty"`
	QueueLength int          `json:"queue-length,omitempty" yaml:"queue-length,omitempty"`
}

// Defaults and bounds of a service's values.
const (
	DefaultSlots          = 6
	DefaultMaxConnections = 200
	DefaultColdSlots      = 1
	DefaultColdPeriod     = 10 * time.Second
	DefaultProbeCost      = time.Millisecond
	DefaultMaxQueueLength = 256
	maxSlots              = 4096
	maxConnections        = 65536
	maxQueueLength        = 65536
	maxColdPeriod         = time.Hour
	maxProbeCost          = time.Second
)

// Parse checks a document whole and returns the service it describes; the
// error is a fault.List that names each field at fault.
func Parse(doc Document) (s Service, err error) {
	var r unit.Parser
	if !profile.ValidName(string(doc.Name)) {
		r.Faults.Add("name", "%q is not kebab case of 1 to 63 characters", doc.Name)
	}
	if doc.Profile == "" {
		r.Faults.Add("profile", "is missing; every service names one")
	}
	if doc.Host == "" && doc.PathPrefix == "" {
		r.Faults.Add("path-prefix", "is missing, and so is host; a service needs one of them")
	}
	if doc.PathPrefix != "" && !strings.HasPrefix(doc.PathPrefix, "/") {
		r.Faults.Add("path-prefix", "%q does not start with \"/\"", doc.PathPrefix)
	}
	s = Service{
		Name:           doc.Name,
		Profile:        doc.Profile,
		Host:           strings.ToLower(doc.Host),
		PathPrefix:     doc.PathPrefix,
		Slots:          orDefault(doc.Slots, DefaultSlots),
		MaxConnections: orDefault(doc.Connections, DefaultMaxConnections),
		ColdSlots:      orDefault(doc.ColdSlots, DefaultColdSlots),
		ColdPeriod:     r.Duration("cold-period", doc.ColdPeriod, DefaultColdPeriod),
		ProbeCost:      r.Duration("probe-cost", doc.ProbeCost, DefaultProbeCost),
		MaxQueueLength: orDefault(doc.QueueLength, DefaultMaxQueueLength),
	}
	r.CheckInt("slots", s.Slots, 1, maxSlots)
	r.CheckInt("connections", s.MaxConnections, 1, maxConnections)
	r.CheckInt("cold-slots", s.ColdSlots, 1, max(1, s.Slots))
	r.CheckDuration("cold-period", s.ColdPeriod, 0, maxColdPeriod)
	r.CheckDuration("probe-cost", s.ProbeCost, 0, maxProbeCost)
	r.CheckInt("queue-length", s.MaxQueueLength, 1, maxQueueLength)
	return s, r.Faults.Err()
}

func orDefault(n, def int) int {
	if n == 0 {
		return def
	}
	return n
}

// Written returns the service as a document that Parse accepts.
func (s *Service) Document() Document {
	return Document{
		Name:        s.Name,
		Profile:     s.Profile,
		Host:        s.Host,
		PathPrefix:  s.PathPrefix,
		Slots:       s.Slots,
		Connections: s.MaxConnections,
		ColdSlots:   s.ColdSlots,
		ColdPeriod:  s.ColdPeriod.String(),
		ProbeCost:   s.ProbeCost.String(),
		QueueLength: s.MaxQueueLength,
	}
}

// Matches reports whether a request for the given host and path belongs to the
// service. A prefix matches whole path segments only.
func (s *Service) Matches(host, path string) bool {
	if s.Host != "" && s.Host != host {
		return false
	}
	if s.PathPrefix == "" {
		return true
	}
	if !strings.HasPrefix(path, s.PathPrefix) {
		return false
	}
	rest := path[len(s.PathPrefix):]
	return rest == "" || rest[0] == '/' || strings.HasSuffix(s.PathPrefix, "/")
}
