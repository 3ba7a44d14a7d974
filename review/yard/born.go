package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { scripts["born"] = runBorn }

const (
	// clockStep is how far the clock of a machine is ahead for a while.
	clockStep = 2000 * time.Millisecond
	// lifeTime is how long the first process of a server lives, and pauseTime the time until it
	// starts again. Both together are shorter than clockStep.
	lifeTime  = 700 * time.Millisecond
	pauseTime = 700 * time.Millisecond
	// drainTime is drainMs, and leaveTime the time from the announcement until the server exits.
	drainTime = 2000 * time.Millisecond
	leaveTime = 6 * time.Second
	// bornInterval is the time between two requests.
	bornInterval = 25 * time.Millisecond
)

const bornConfiguration = `{"version":3,"services":[{"name":"khata","healthPath":"/health","maxConns":220,"warmupS":3.0,"warmupPerS":6.2}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"hosts":[{"host":"jepu9.example","paths":[{"name":"pay","pathPrefix":"/pay/","routeType":"unsafe","timeoutMs":1500,"targetLatencyMs":800,"priority":1,"service":"khata","maxAttempts":1}]}]}`

// runBorn lets a server crash and start again at its address, and later leave as planned. With the
// disruption, the clock of its machine was ahead when it started first.
func runBorn(y *yard, hasTrouble bool) (isBroken bool, err error) {
	y.publish(bornConfiguration)
	leaver := &server{id: "i-khata-1", zone: zones[0]}
	for i, s := range []*server{leaver, {id: "i-khata-2", zone: zones[1]}, {id: "i-khata-3", zone: zones[2]}} {
		s.service, s.slots, s.work = "khata", 6, func(*http.Request) time.Duration { return 290 * time.Millisecond }
		if i > 0 {
			if err := y.addServer(s); err != nil {
				return false, err
			}
		}
	}
	for range 3 {
		if _, err := y.addNode(); err != nil {
			return false, err
		}
	}
	if err := y.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if hasTrouble {
		leaver.clockAhead = clockStep
	}
	if err := y.addServer(leaver); err != nil {
		return false, err
	}
	time.Sleep(lifeTime)
	leaver.crash()
	y.record.printf("server %s crashes", leaver.id)
	time.Sleep(pauseTime)
	leaver.clockAhead = 0
	if err := y.startServer(leaver); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	l := &bornLoad{yard: y, stop: make(chan struct{}), sent: map[string]time.Time{}}
	l.wait.Go(l.send)
	time.Sleep(3 * time.Second)
	leaver.drain()
	drainedAt := time.Now()
	y.record.printf("server %s says that it is draining", leaver.id)
	time.Sleep(leaveTime)
	leaver.crash()
	y.record.printf("server %s exits", leaver.id)
	time.Sleep(2 * time.Second)
	close(l.stop)
	l.wait.Wait()
	return l.judge(leaver, drainedAt), nil
}

// bornLoad sends payments.
type bornLoad struct {
	yard *yard
	stop chan struct{}
	wait sync.WaitGroup

	mu   sync.Mutex
	sent map[string]time.Time
	// lost counts the requests whose outcome is unknown to their clients.
	lost int
}

func (l *bornLoad) send() {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	for n := 1; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(bornInterval):
			l.wait.Go(func() { l.request(client, n) })
		}
	}
}

func (l *bornLoad) request(client *http.Client, n int) {
	node, id := l.yard.nodes[n%len(l.yard.nodes)], fmt.Sprintf("%016x", n)
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/pay/%x", node.front, n), nil)
	if err != nil {
		l.yard.record.printf("%s: %v", id, err)
		return
	}
	req.Host = "jepu9.example"
	req.Header.Set("X-Apricotmount-Attempt-Id", id)
	req.Header.Set("X-Apricotmount-Deadline-Ms", "3000")
	l.mu.Lock()
	l.sent[id] = time.Now()
	l.mu.Unlock()
	status := 0
	resp, err := client.Do(req)
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	l.yard.record.printf("%s at %s gets %d (%v)", id, node.name, status, err)
	if err != nil || status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lost++
	}
}

// judge returns whether requests that were sent later than drainMs after the store had taken that a
// server is draining have reached it.
func (l *bornLoad) judge(leaver *server, drainedAt time.Time) (isBroken bool) {
	late := 0
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	for _, r := range leaver.runs {
		if r.at.Sub(drainedAt) > drainTime && l.sent[r.id].Sub(drainedAt) > drainTime {
			late++
		}
	}
	l.yard.record.printf("reached server %s later than %s after that: %d requests; requests with unknown outcome: %d", leaver.id, drainTime, late, l.lost)
	return late > 0
}
