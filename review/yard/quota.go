package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

func init() { scripts["quota"] = runQuota }

const (
	// The tenant's quota, and the bounds of the rule.
	quotaPerS, quotaBurst    = 100, 200
	quotaWindow              = 5 * time.Second
	quotaOverage, quotaSlack = 0.1, 20
	// usualRate is the requests a second that the tenant sends, and hotFactor how many times as
	// many it sends in between.
	usualRate, hotFactor = 60, 7.5
	// usualTime is the time before the first stop, and stopInterval that from the first stop to
	// the time at which the tenant begins to send many times its usual, for hotTime.
	usualTime    = 3 * time.Second
	stopInterval = 32 * time.Second
	hotTime      = 6 * time.Second
	// stopAfter is the time from then until the second stop.
	stopAfter = 700 * time.Millisecond
	// restartDelay is the time from the end of a process until it is started again, and
	// stopLimit the grace period of a stop.
	restartDelay = 500 * time.Millisecond
	stopLimit    = 6 * time.Second
	quotaNodes   = 5
)

const quotaConfiguration = `{"version":3,"services":[{"name":"painel","healthPath":"/health","maxConns":860,"warmupS":3.0,"warmupPerS":8.5}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":%q,"apiKeys":["rjvz48wuakn2ftimaj3n"],"priority":1,"ratePerS":%d,"burst":%d}],
"hosts":[{"host":"jepu9.example","paths":[{"name":"status","pathPrefix":"/status/","routeType":"safe","timeoutMs":1000,"targetLatencyMs":300,"priority":1,"service":"painel","maxAttempts":1,"public":false}]}]}`

// rank orders the nodes as owners of a tenant's quota, as the nodes do.
func (y *yard) rank(tenant string) (nodes []*node) {
	nodes = slices.Clone(y.nodes)
	hash := func(n *node) uint64 { return xxhash.Sum64String(n.peer + "/" + tenant) }
	slices.SortFunc(nodes, func(a, b *node) int {
		switch {
		case hash(a) > hash(b):
			return -1
		case hash(a) < hash(b):
			return 1
		}
		return 0
	})
	return nodes
}

// runQuota lets a tenant send many times its usual. With the disruption, the node that owns its
// quota is stopped and started as planned, once long before and once while these requests come.
func runQuota(y *yard, hasTrouble bool) (isBroken bool, err error) {
	const tenant = "cuka620"
	y.publish(fmt.Sprintf(quotaConfiguration, tenant, quotaPerS, quotaBurst))
	for i := range 6 {
		s := &server{id: fmt.Sprintf("i-painel-%d", i+1), service: "painel", zone: zones[i%len(zones)], slots: 6, work: func(*http.Request) time.Duration { return 15 * time.Millisecond }}
		if err := y.addServer(s); err != nil {
			return false, err
		}
	}
	for range quotaNodes {
		if _, err := y.addNode(); err != nil {
			return false, err
		}
	}
	if err := y.awaitReady(); err != nil {
		return false, err
	}
	ranked := y.rank(tenant)
	owner, senders := ranked[0], ranked[1:]
	y.record.printf("%s comes first by the hash of node and tenant", owner.name)
	time.Sleep(3 * time.Second)
	l := &tenantLoad{yard: y, nodes: senders, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, sent: map[string]time.Time{}}
	l.send(usualRate, usualTime)
	var stops sync.WaitGroup
	stop := func() { stops.Go(func() { y.stopAndStart(owner) }) }
	if hasTrouble {
		stop()
	}
	l.send(usualRate, stopInterval)
	y.record.printf("the tenant sends many times its usual")
	if hasTrouble {
		time.AfterFunc(stopAfter, stop)
	}
	l.send(hotFactor*usualRate, hotTime)
	l.wait.Wait()
	stops.Wait()
	return y.judgeQuota(l.sent, tenant), nil
}

// stopAndStart stops a node as the platform does, and starts it again.
func (y *yard) stopAndStart(n *node) {
	y.record.printf("%s gets SIGTERM", n.name)
	// An error means that the process has ended, which awaiting its end shows.
	_ = n.signal(syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(stopLimit):
		y.record.printf("%s gets SIGKILL", n.name)
		_ = n.signal(syscall.SIGKILL)
		<-n.ended
	}
	y.record.printf("%s has ended", n.name)
	time.Sleep(restartDelay)
	if err := n.start(false); err != nil {
		y.record.printf("start %s: %v", n.name, err)
		return
	}
	y.record.printf("%s is started", n.name)
}

// tenantLoad sends the requests of a tenant.
type tenantLoad struct {
	yard   *yard
	nodes  []*node
	client *http.Client
	wait   sync.WaitGroup
	count  int

	mu   sync.Mutex
	sent map[string]time.Time
}

// send sends requests at a rate for a time, to one node after the other.
func (l *tenantLoad) send(perS int, d time.Duration) {
	ticker := time.NewTicker(time.Second / time.Duration(perS))
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
		l.count++
		n, id := l.nodes[l.count%len(l.nodes)], fmt.Sprintf("%016x", l.count)
		l.wait.Go(func() { l.request(n, id) })
	}
}

// request sends one request and records the answer.
func (l *tenantLoad) request(n *node, id string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.front+"/status/"+id, nil)
	if err != nil {
		l.yard.record.printf("%s: %v", id, err)
		return
	}
	req.Host = "jepu9.example"
	req.Header.Set("X-Apricotmount-Attempt-Id", id)
	req.Header.Set("X-Apricotmount-Deadline-Ms", "1000")
	req.Header.Set("X-Apricotmount-Credential", "rjvz48wuakn2ftimaj3n")
	l.mu.Lock()
	l.sent[id] = time.Now()
	l.mu.Unlock()
	resp, err := l.client.Do(req)
	if err != nil {
		l.yard.record.printf("%s at %s: %v", id, n.name, err)
		return
	}
	defer resp.Body.Close()
	// The rest of the body only frees the connection.
	_, _ = io.Copy(io.Discard, resp.Body)
	l.yard.record.printf("%s at %s gets %d", id, n.name, resp.StatusCode)
}

// judgeQuota returns whether in some window more requests of the tenant were sent and arrived at a
// server that ran them than the rule allows.
func (y *yard) judgeQuota(sent map[string]time.Time, tenant string) (isBroken bool) {
	limit := (quotaPerS*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	var runs []runOfRequest
	for _, r := range y.allRuns() {
		if _, ok := sent[r.id]; ok && r.tenant == tenant {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b runOfRequest) int { return a.at.Compare(b.at) })
	most, mostAt := 0, time.Time{}
	for i := range runs {
		start := sent[runs[i].id]
		count := 0
		for _, r := range runs[i:] {
			if r.at.Sub(start) <= quotaWindow && !sent[r.id].Before(start) {
				count++
			}
		}
		if count > most {
			most, mostAt = count, start
		}
	}
	second := map[int]int{}
	for _, r := range runs {
		second[int(r.at.Sub(y.record.start).Seconds())]++
	}
	for i := range 60 {
		if second[i] > 0 {
			y.record.printf("in second %d servers ran %d requests of the tenant", i, second[i])
		}
	}
	y.record.printf("most in %s: %d, from second %.3f on; the rule allows %.0f", quotaWindow, most, mostAt.Sub(y.record.start).Seconds(), limit)
	return float64(most) > limit
}
