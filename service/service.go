package service

import (
	"strings"
	"time"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/unit"
)

// Name is the name of a service. It is unique in the configuration.
type Name string

// Service is the validated form of a Document: a group of equivalent targets and
// the rules that route calls to them.
type Service struct {
	Name    Name         `cbor:"name"`
	Profile profile.Name `cbor:"profile"`
	// Host is the request host that selects the service. Empty matches any host.
	Host string `cbor:"host"`
	// PathPrefix is the path prefix that selects the service. Empty matches any
	// path.
	PathPrefix string `cbor:"path-prefix"`
	// Slots is the number of calls that one warm target runs concurrently.
	Slots int `cbor:"slots"`
	// MaxConnections is the maximum number of connections to one target, summed
	// over all nodes.
	MaxConnections int `cbor:"connections"`
	// ColdSlots is the maximum number of calls in flight at a target in cold
	// start, summed over all nodes.
	ColdSlots int `cbor:"cold-slots"`
	// ColdPeriod is the duration of the cold start of a target that does not
	// report one.
	ColdPeriod time.Duration `cbor:"cold-period"`
	// ProbeCost is the processing time of one probe at a target. Each probe spends
	// it from the probe budget of the node.
	ProbeCost time.Duration `cbor:"probe-cost"`
	// MaxQueueLength is the maximum number of calls of this service that wait in
	// one node.
	MaxQueueLength int `cbor:"queue-length"`
}

// Document is a service as operators write it. Durations are texts with a unit,
// and absent values select the defaults.
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

// Defaults and bounds of the values of a service.
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

// Parse validates doc and returns its service. The error is a fault.List with
// every invalid field.
func Parse(doc Document) (s Service, err error) {
	var parser unit.Parser
	if !profile.ValidName(string(doc.Name)) {
		parser.Faults.Add("name", "%q is not kebab case of 1 to 63 characters", doc.Name)
	}
	if doc.Profile == "" {
		parser.Faults.Add("profile", "is missing; every service names one")
	}
	if doc.Host == "" && doc.PathPrefix == "" {
		parser.Faults.Add("path-prefix", "is missing, and so is host; a service needs one of them")
	}
	if doc.PathPrefix != "" && !strings.HasPrefix(doc.PathPrefix, "/") {
		parser.Faults.Add("path-prefix", "%q does not start with \"/\"", doc.PathPrefix)
	}
	s = Service{
		Name:           doc.Name,
		Profile:        doc.Profile,
		Host:           strings.ToLower(doc.Host),
		PathPrefix:     doc.PathPrefix,
		Slots:          orDefault(doc.Slots, DefaultSlots),
		MaxConnections: orDefault(doc.Connections, DefaultMaxConnections),
		ColdSlots:      orDefault(doc.ColdSlots, DefaultColdSlots),
		ColdPeriod:     parser.Duration("cold-period", doc.ColdPeriod, DefaultColdPeriod),
		ProbeCost:      parser.Duration("probe-cost", doc.ProbeCost, DefaultProbeCost),
		MaxQueueLength: orDefault(doc.QueueLength, DefaultMaxQueueLength),
	}
	parser.CheckInt("slots", s.Slots, 1, maxSlots)
	parser.CheckInt("connections", s.MaxConnections, 1, maxConnections)
	parser.CheckInt("cold-slots", s.ColdSlots, 1, max(1, s.Slots))
	parser.CheckDuration("cold-period", s.ColdPeriod, 0, maxColdPeriod)
	parser.CheckDuration("probe-cost", s.ProbeCost, 0, maxProbeCost)
	parser.CheckInt("queue-length", s.MaxQueueLength, 1, maxQueueLength)
	return s, parser.Faults.Err()
}

func orDefault(n, defaultValue int) int {
	if n == 0 {
		return defaultValue
	}
	return n
}

// Document returns the service as a document that Parse accepts.
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

// Matches reports whether the service selects a request with the given host and
// path. The path prefix matches whole path segments only.
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
