package inventory

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/quota"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/tenant"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// PlanVersion is the version of a plan. The operator increases it, not always by one.
type PlanVersion int64

// Plan is the operator's configuration: the services, the routes to them and the
// profile of each route. It is immutable.
type Plan struct {
	Version  PlanVersion
	Services map[service.Name]Service
	// RoutesByHost maps each host to its routes, which SortRoutes orders by descending
	// length of the prefix.
	RoutesByHost map[string][]Route
	Limits       Limits
	// Tenants finds the tenants of calls; nil if the plan has none.
	Tenants *tenant.Directory
}

// Limits bound the requests and connections of callers; zero values mean no limit.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are the maximum lengths of a request's headers and
	// body.
	MaxHeaderBytes, MaxBodyBytes int64
	// HeaderTimeout is the time in which a caller sends a request's head.
	HeaderTimeout time.Duration
	// IdleTimeout is the idle timeout of a caller's connection.
	IdleTimeout time.Duration
}

// Service is a service with the settings of its load queries and cold starts.
type Service struct {
	service.Service
	// HealthPath is the path of load queries and probes.
	HealthPath string
	// ColdCallsPerSecond is the number of calls per second that a target in cold start
	// may get from the whole fleet.
	ColdCallsPerSecond quota.Rate
}

// Route applies to the calls of a host under a path prefix.
type Route struct {
	PathPrefix string
	Profile    profile.Profile
	// IsPublic reports whether calls need no key.
	IsPublic bool
	// Services are the services among which the route's calls are divided by weight.
	Services []WeightedService
}

// WeightedService is a service of a route with its weight.
type WeightedService struct {
	Service service.Name
	Weight  float64
}

// SortRoutes orders each host's routes so that FindRoute tries the longest prefix first.
// The Decoder must call it before it returns the plan.
func (p *Plan) SortRoutes() {
	for _, routes := range p.RoutesByHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
}

// HasService reports whether a service serves a part of the route's calls.
func (r *Route) HasService(name service.Name) bool {
	return slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == name })
}

// FindRoute returns the route of a request, or nil if none matches.
func (p *Plan) FindRoute(host, path string) *Route {
	routes := p.RoutesByHost[host]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].PathPrefix) {
			return &routes[i]
		}
	}
	return nil
}

// TargetRecord is the decoded record of a target. Its encoding is part of the digest that
// peers compare.
type TargetRecord struct {
	VM vm.VM
	// Cold is set while the target is in cold start.
	Cold bool
	// Born is the start time of the target's process in Unix milliseconds; zero if
	// unknown.
	Born int64
}

// WithdrawnZones is the set of zones that operators have taken out of service.
type WithdrawnZones map[zone.Name]bool

// Contains reports whether a target's zone is out of service.
func (w WithdrawnZones) Contains(_ vm.ID, z zone.Name) bool { return w[z] }

// LongestTimeout returns the longest timeout of the calls to a service.
func (p *Plan) LongestTimeout(name service.Name) (longest time.Duration) {
	for _, routes := range p.RoutesByHost {
		for i := range routes {
			for _, s := range routes[i].Services {
				if s.Service == name {
					longest = max(longest, routes[i].Profile.CallTimeout)
				}
			}
		}
	}
	return longest
}
