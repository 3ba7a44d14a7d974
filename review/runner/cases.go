package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// startFleet starts servers of two services and three nodes, one in each zone.
func startFleet(ctx context.Context, s *site, serversPerService int) (byService map[string][]*server, err error) {
	byService = map[string][]*server{}
	for _, name := range []string{"ledger", "rounds"} {
		for i := range serversPerService {
			v, err := s.addServer(fmt.Sprintf("i-%s%d", name, i), name, zones[i%len(zones)], 30*time.Millisecond)
			if err != nil {
				return nil, err
			}
			byService[name] = append(byService[name], v)
		}
	}
	s.publish(1, []string{"ledger", "rounds"}, []route{
		{"/ledger/", "safe", "ledger", 1500, 600},
		{"/rounds/", "safe", "rounds", 1500, 600},
		{"/rounds/ledger/", "safe", "ledger", 1500, 600},
	})
	for _, z := range zones {
		if _, err := s.addNode(z); err != nil {
			return nil, err
		}
	}
	return byService, s.awaitReady(ctx)
}

// sendSteadily sends requests to all nodes in turn until ctx ends, and returns their answers.
func sendSteadily(ctx context.Context, s *site, target string, interval time.Duration) (answers func() []answer) {
	var mu sync.Mutex
	var all []answer
	var open sync.WaitGroup
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			open.Go(func() {
				a := s.ask(context.Background(), s.nodes[i%len(s.nodes)], http.MethodGet, target, newID("c"), noKey, 2500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, a)
			})
		}
	}()
	return func() []answer {
		<-done
		open.Wait()
		return all
	}
}

// servedShare returns the share of the requests sent since a time that got a success.
func servedShare(answers []answer, since time.Time) (share float64, n int) {
	served := 0
	for _, a := range answers {
		if a.sentAt.Before(since) {
			continue
		}
		n++
		if a.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(n, 1)), n
}

// runMovedServer restarts the servers of one service, one after the other, under their IDs and
// at new addresses, and checks over the whole day that the service is not starved.
func runMovedServer(ctx context.Context, s *site, isTroubled bool) (isBroken bool, err error) {
	const (
		dayTime  = 88 * time.Second
		downTime = 3 * time.Second
		// reuseMargin is how much later than allowed an address is used again.
		reuseMargin  = 200 * time.Millisecond
		pauseBetween = 200 * time.Millisecond
	)
	servers, err := startFleet(ctx, s, 3)
	if err != nil {
		return false, err
	}
	start := time.Now()
	sendCtx, stop := context.WithCancel(ctx)
	defer stop()
	ledger := sendSteadily(sendCtx, s, "/ledger/x", 50*time.Millisecond)
	rounds := sendSteadily(sendCtx, s, "/rounds/x", 50*time.Millisecond)
	time.Sleep(time.Second)
	for i, v := range servers["ledger"] {
		if !isTroubled {
			break
		}
		former := v.end()
		time.Sleep(addressReuse + reuseMargin)
		if err := s.reuseAddress(former, i); err != nil {
			return false, err
		}
		time.Sleep(downTime - addressReuse - reuseMargin)
		if err := v.startAt("127.0.0.1:0"); err != nil {
			return false, err
		}
		time.Sleep(pauseBetween)
	}
	select {
	case <-time.After(time.Until(start.Add(dayTime))):
	case <-ctx.Done():
		return false, ctx.Err()
	}
	stop()
	ledgerShare, ledgerCount := servedShare(ledger(), start)
	roundsShare, roundsCount := servedShare(rounds(), start)
	all := (ledgerShare*float64(ledgerCount) + roundsShare*float64(roundsCount)) / float64(ledgerCount+roundsCount)
	s.record.note("ledger %.3f of %d served, rounds %.3f of %d, all %.3f", ledgerShare, ledgerCount, roundsShare, roundsCount, all)
	return ledgerShare < all/4, nil
}

// reuseAddress starts a server of the other service at the address of one that has ended.
func (s *site) reuseAddress(address string, i int) error {
	v := &server{site: s, id: fmt.Sprintf("i-next%d", i), service: "rounds", zone: zones[i%len(zones)], work: 30 * time.Millisecond}
	s.mu.Lock()
	s.servers = append(append([]*server{}, s.servers...), v)
	s.mu.Unlock()
	return v.startAt(address)
}

// runEncodedSlash sends requests whose path contains an encoded slash, and checks that they run
// at the service of the route whose prefix begins the path.
func runEncodedSlash(ctx context.Context, s *site, isTroubled bool) (isBroken bool, err error) {
	if _, err := startFleet(ctx, s, 3); err != nil {
		return false, err
	}
	target := "/rounds/ledger-x"
	if isTroubled {
		target = "/rounds/ledger%2Fx"
	}
	wrong := 0
	for i := range 60 {
		a := s.ask(ctx, s.nodes[i%len(s.nodes)], http.MethodGet, target, newID("c"), noKey, 2500*time.Millisecond)
		if a.status == http.StatusOK && a.service != "rounds" {
			wrong++
		}
	}
	s.record.note("%d of 60 requests for %s ran at another service than rounds", wrong, target)
	return wrong > 0, nil
}

// runChangedPath sends requests whose path or query the nodes have to forward unchanged, and
// checks what the servers receive.
func runChangedPath(ctx context.Context, s *site, isTroubled bool) (isBroken bool, err error) {
	if _, err := startFleet(ctx, s, 3); err != nil {
		return false, err
	}
	targets := []string{"/rounds/a-b", "/rounds/a%7Cb?x=1"}
	if isTroubled {
		targets = []string{"/rounds/a?", "/rounds/a|b"}
	}
	changed := 0
	for i := range 60 {
		target, id := targets[i%len(targets)], newID("c")
		s.ask(ctx, s.nodes[i%len(s.nodes)], http.MethodGet, target, id, noKey, 2500*time.Millisecond)
		if got, ran := s.receivedTarget(id); ran && got != target {
			changed++
		}
	}
	s.record.note("%d of 60 requests for %q ran with another path or query", changed, targets)
	return changed > 0, nil
}
