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
type PlanVersion int64

// Plan is the operator's configuration: which calls go to which services, and
// how each kind is served. It is immutable.
type Plan struct {
	Version  PlanVersion
	Services map[service.Name]Service
	// Hosts holds each host's routes, longest prefix first.
	RoutesByHost map[string][]Route
	Limits       Limits
}

// Limits bound what callers may send; zero values bound nothing.
type Limits struct {
	// HeaderBytes and BodyBytes are the longest headers and body of a request.
	MaxHeaderBytes, MaxBodyBytes int64
	// Idle is how long a caller may leave a connection unused.
	IdleTimeout time.Duration
}

// Service is a service and what its targets say and bear.
type Service struct {
	service.Service
	// HealthPath is what a probe asks for.
	HealthPath string
	// ColdPerSecond is how many calls a second a target in cold start bears from
	// all nodes together.
	ColdCallsPerSecond float64
}

// Route is the calls of a host under a path prefix.
type Route struct {
	PathPrefix string
	Profile    profile.Profile
	// Parts are the services that share the route's calls by weight.
	Services []WeightedService
}

// Part is a service's share of a route.
type WeightedService struct {
	Service service.Name
	Weight  float64
}

// Sort brings the routes into the order in which they are tried.
func (p *Plan) SortRoutes() {
	for _, routes := range p.RoutesByHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
}

// Find returns the route of a request, or nil.
func (p *Plan) FindRoute(host, path string) *Route {
	routes := p.RoutesByHost[host]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].PathPrefix) {
			return &routes[i]
		}
	}
	return nil
}

// Target is what a target says of itself in the store.
type TargetRecord struct {
	VM vm.VM
	// Cold says that it has just started.
	Cold bool
	// Born is the start of its process, in Unix milliseconds; zero if not stated.
	Born int64
}

// turns deals a route's calls out to its parts: each in turn by weight, so that
// over any span the shares are as exact as whole calls allow.
type turns struct {
	credit []float64
}

// next returns the index of the part whose turn it is.
func (t *turns) next(parts []WeightedService) int {
	if len(t.credit) != len(parts) {
		t.credit = make([]float64, len(parts))
	}
	total, best := 0.0, 0
	for i, part := range parts {
		total += part.Weight
		t.credit[i] += part.Weight
		if t.credit[i] > t.credit[best] {
			best = i
		}
	}
	t.credit[best] -= total
	return best
}

// withdrawnZones are the zones that operators have out of service.
type withdrawnZones map[zone.Name]bool

// has reports whether a target's zone is out of service.
func (w withdrawnZones) has(_ vm.ID, z zone.Name) bool { return w[z] }
