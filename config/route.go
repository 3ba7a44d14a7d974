package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/service"
)

// routeKey is the key by which routes are looked up: the host and the first
// segment of the path. An empty string matches any.
type routeKey struct {
	host, segment string
}

// route is a service with its profile.
type route struct {
	service service.Service
	profile profile.Profile
}

// Resolve returns the service that a request matches, and its profile. A
// service with a host takes precedence over one without, and then a longer path
// prefix over a shorter one.
func (c *Configuration) Resolve(host, path string) (s *service.Service, p *profile.Profile, ok bool) {
	segment := firstSegment(path)
	for _, key := range [...]routeKey{{host, segment}, {host, ""}, {"", segment}, {"", ""}} {
		candidates := c.routes[key]
		for i := range candidates {
			if candidate := &candidates[i]; candidate.service.Matches(host, path) {
				return &candidate.service, &candidate.profile, true
			}
		}
	}
	return nil, nil, false
}

// buildRoutes builds the routes that Resolve looks up, longest path prefix
// first. A service whose profile is missing gets no route.
func (c *Configuration) buildRoutes() {
	c.routes = map[routeKey][]route{}
	ordered := slices.SortedFunc(maps.Values(c.Services), func(a, b service.Service) int {
		if d := len(b.PathPrefix) - len(a.PathPrefix); d != 0 {
			return d
		}
		return strings.Compare(string(a.Name), string(b.Name))
	})
	for _, s := range ordered {
		p, ok := c.Profiles[s.Profile]
		if !ok {
			continue
		}
		key := routeKey{s.Host, firstSegment(s.PathPrefix)}
		c.routes[key] = append(c.routes[key], route{service: s, profile: p})
	}
}

// firstSegment returns the part of a path before its second slash, without the
// first slash.
func firstSegment(path string) string {
	path = strings.TrimPrefix(path, "/")
	segment, _, _ := strings.Cut(path, "/")
	return segment
}
