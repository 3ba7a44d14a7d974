package gateway

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// Version is the operator's number of a plan; it grows in uneven steps.
type Version int64

// Plan is the operator's configuration: which calls go to which services, and
// how each kind is served. It is immutable.
type Plan struct {
	Version  Version
	Services map[service.Name]Service
	// Hosts holds each host's routes, longest prefix first.
	Hosts  map[string][]Route
	Limits Limits
}

// Limits bound what callers may send; zero values bound nothing.
type Limits struct {
	// HeaderBytes and BodyBytes are the longest headers and body of a request.
	HeaderBytes, BodyBytes int64
	// Idle is how long a caller may leave a connection unused.
	Idle time.Duration
}

// Service is a service and what its targets say and bear.
type Service struct {
	service.Service
	// HealthPath is what a probe asks for.
	HealthPath string
	// ColdPerSecond is how many calls a second a target in cold start bears from
	// all nodes together.
	ColdPerSecond float64
}

// Route is the calls of a host under a path prefix.
type Route struct {
	Prefix  string
	Profile profile.Profile
	// Parts are the services that share the route's calls by weight.
	Parts []Part
}

// Part is a service's share of a route.
type Part struct {
	Service service.Name
	Weight  float64
}

// Sort brings the routes into the order in which they are tried.
func (p *Plan) Sort() {
	for _, routes := range p.Hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// Find returns the route of a request, or nil.
func (p *Plan) Find(host, path string) *Route {
	routes := p.Hosts[host]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i]
		}
	}
	return nil
}

// Target is what a target says of itself in the store.
type Target struct {
	VM vm.VM
	// Cold says that it has just started.
	Cold bool
	// Born is the start of its process, in Unix milliseconds; zero if not stated.
	Born int64
}

// weightedRoundRobin deals a route's calls out to its parts: each in turn by weight, so that
// over any span the shares are as exact as whole calls allow.
type weightedRoundRobin struct {
	credits []float64
}

// next returns the index of the part whose turn it is.
func (t *weightedRoundRobin) next(parts []Part) int {
	if len(t.credits) != len(parts) {
		t.credits = make([]float64, len(parts))
	}
	total, best := 0.0, 0
	for i, part := range parts {
		total += part.Weight
		t.credits[i] += part.Weight
		if t.credits[i] > t.credits[best] {
			best = i
		}
	}
	t.credits[best] -= total
	return best
}

// withdrawnZones are the zones that operators have out of service.
type withdrawnZones map[zone.Name]bool

// contains reports whether a target's zone is out of service.
func (w withdrawnZones) contains(_ vm.ID, z zone.Name) bool { return w[z] }
