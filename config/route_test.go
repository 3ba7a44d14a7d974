package config

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/service"
)

// resolveLinear returns the best match of a linear search through all services.
func resolveLinear(c *Configuration, host, path string) (best service.Name) {
	rank := func(s service.Service) int {
		n := len(s.PathPrefix)
		if s.Host != "" {
			n += 1 << 10 // exceeds the length of every prefix
		}
		return n
	}
	bestRank := -1
	for _, s := range c.Services {
		if s.Matches(host, path) && rank(s) > bestRank {
			best, bestRank = s.Name, rank(s)
		}
	}
	return best
}

// TestResolveEqualsLinearSearch compares Resolve with a linear search on random
// configurations, with a fixed seed.
func TestResolveEqualsLinearSearch(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	hosts := []string{"", "a.example", "b.example"}
	prefixes := []string{"", "/", "/x", "/x/", "/x/y", "/xy", "/y", "/y/z/"}
	paths := []string{"/", "", "/x", "/x/", "/x/y", "/x/y/z", "/xy", "/xyz", "/y", "/y/z", "/y/z/1", "/other"}
	for range 300 {
		c := &Configuration{Profiles: map[profile.Name]profile.Profile{"p": {Name: "p"}}, Services: map[service.Name]service.Service{}}
		taken := map[string]bool{}
		for i := range rng.IntN(8) {
			host, prefix := hosts[rng.IntN(len(hosts))], prefixes[rng.IntN(len(prefixes))]
			if taken[host+prefix] || host+prefix == "" {
				continue
			}
			taken[host+prefix] = true
			name := service.Name(fmt.Sprint("s", i))
			c.Services[name] = service.Service{Name: name, Profile: "p", Host: host, PathPrefix: prefix}
		}
		c.buildRoutes()
		for _, host := range []string{"a.example", "b.example", "c.example"} {
			for _, path := range paths {
				var got service.Name
				if s, _, ok := c.Resolve(host, path); ok {
					got = s.Name
				}
				if want := resolveLinear(c, host, path); got != want {
					t.Fatalf("%s%s among %v: got %q, want %q", host, path, c.Services, got, want)
				}
			}
		}
	}
}

func BenchmarkResolve(b *testing.B) {
	c := &Configuration{Profiles: map[profile.Name]profile.Profile{"p": {Name: "p"}}, Services: map[service.Name]service.Service{}}
	for i := range 280 {
		name := service.Name(fmt.Sprint("service-", i))
		c.Services[name] = service.Service{Name: name, Profile: "p", PathPrefix: "/" + string(name)}
	}
	c.buildRoutes()
	b.ReportAllocs()
	for b.Loop() {
		c.Resolve("a.example", "/service-200/x")
	}
}
