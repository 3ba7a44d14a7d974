package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Figures of the quota rule, from the page of the deployments with tenants.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// run is a request that a server has begun to run.
type tenantRun struct {
	tenant        string
	sentAt, ranAt time.Time
}

// recordRun records that a server runs a request.
func (s *site) recordRun(id, tenantName string) {
	if tenantName == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tenantRuns = append(s.tenantRuns, tenantRun{tenantName, s.sentAt[id], time.Now()})
}

// recordSent records when a client has sent a request.
func (s *site) recordSent(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sentAt == nil {
		s.sentAt = map[string]time.Time{}
	}
	s.sentAt[id] = time.Now()
}

// busiestWindow returns the most requests of a tenant that were both sent and run within one
// window, and when the window begins.
func (s *site) busiestWindow(name string) (most int, begin time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []tenantRun
	for _, r := range s.tenantRuns {
		if r.tenant == name {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b tenantRun) int { return a.sentAt.Compare(b.sentAt) })
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.ranAt.Before(first.sentAt.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, begin = n, first.sentAt
		}
	}
	return most, begin
}

// sendAs sends requests of a tenant, a number a second divided among all nodes, for a time.
func (s *site) sendAs(ctx context.Context, t tenant, perSecond float64, d time.Duration) {
	var open sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		<-ticker.C
		open.Go(func() {
			id := newID(t.name)
			s.recordSent(id)
			s.ask(context.Background(), s.nodes[i%len(s.nodes)], http.MethodGet, "/rounds/x", id, t.key, time.Second)
		})
	}
	open.Wait()
}

// runQuotaParted cuts one zone off from the others while tenants ask for many times their usual,
// and checks that their quotas hold over all nodes.
func runQuotaParted(ctx context.Context, s *site, isTroubled bool) (isBroken bool, err error) {
	const (
		usualTime, hotTime = 4 * time.Second, 6500 * time.Millisecond
		cutDelay, cutTime  = 500 * time.Millisecond, 5500 * time.Millisecond
		rate, burst        = 40, 40
		// quotaFactor is the quota as a multiple of the usual load, and hotFactor the load of a
		// hot tenant as one.
		quotaFactor, hotFactor = 1.6, 6.8
		usual                  = rate / quotaFactor
	)
	s.links = &links{}
	for i := range 6 {
		if _, err := s.addServer(fmt.Sprint("i-rounds", i), "rounds", zones[i%len(zones)], 30*time.Millisecond); err != nil {
			return false, err
		}
	}
	tenants := []tenant{{"cuka620", "key-of-cuka620", rate, burst}, {"pule232", "key-of-pule232", rate, burst}}
	s.publish(1, []string{"rounds"}, []route{{"/rounds/", "safe", "rounds", 1000, 300}}, tenants...)
	for _, z := range zones {
		if _, err := s.addNode(z); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var clients sync.WaitGroup
	for _, t := range tenants {
		clients.Go(func() {
			s.sendAs(ctx, t, usual, usualTime)
			s.sendAs(ctx, t, hotFactor*usual, hotTime)
			s.sendAs(ctx, t, usual, usualTime)
		})
	}
	time.Sleep(usualTime + cutDelay)
	if isTroubled {
		s.record.note("zone %s is cut off from the others", s.nodes[0].zone)
		s.links.setCut(s.nodes[0])
		time.Sleep(cutTime)
		s.record.note("the cut ends")
		s.links.setCut(nil)
	}
	clients.Wait()
	allowed := int((rate*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack)
	for _, t := range tenants {
		most, begin := s.busiestWindow(t.name)
		s.record.note("tenant %s: at most %d requests sent and run in %s, from %.3f s on; allowed %d", t.name, most, quotaWindow, begin.Sub(s.record.start).Seconds(), allowed)
		isBroken = isBroken || most > allowed
	}
	return isBroken, nil
}
