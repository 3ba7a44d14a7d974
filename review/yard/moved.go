package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { scripts["moved"] = runMoved }

const movedConfiguration = `{"version":3,"services":[{"name":"roundbook","healthPath":"/health","maxConns":220,"warmupS":3.0,"warmupPerS":6.2},
{"name":"khata","healthPath":"/health","maxConns":220,"warmupS":3.0,"warmupPerS":6.2},{"name":"hisab","healthPath":"/health","maxConns":220,"warmupS":3.0,"warmupPerS":6.2}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"hosts":[{"host":"jepu9.example","paths":[
{"name":"sheet","pathPrefix":"/sheet/","routeType":"safe","timeoutMs":1200,"targetLatencyMs":600,"priority":2,"service":"roundbook","maxAttempts":2},
{"name":"pay","pathPrefix":"/pay/","routeType":"unsafe","timeoutMs":1500,"targetLatencyMs":800,"priority":1,"service":"khata","maxAttempts":1},
{"name":"dues","pathPrefix":"/dues/","routeType":"safe","timeoutMs":3000,"targetLatencyMs":1500,"priority":2,"service":"hisab","maxAttempts":2}]}]}`

// kind is a kind of request.
type kind struct {
	name, service, method string
	work                  time.Duration
	perS, deadlineMs      int
}

var kinds = []kind{
	{"sheet", "roundbook", http.MethodGet, 220 * time.Millisecond, 12, 2500},
	{"pay", "khata", http.MethodPost, 290 * time.Millisecond, 4, 3000},
	{"dues", "hisab", http.MethodGet, 550 * time.Millisecond, 4, 6000},
}

const (
	serversPerService = 6
	// returnInterval is the time between the failures of two zones, and downTime how long the
	// servers of a zone are down.
	returnInterval = 5 * time.Second
	downTime       = 2 * time.Second
	beforeReturns  = 4 * time.Second
	afterReturns   = 75 * time.Second
)

// runMoved lets the servers of a service go down and come back, zone by zone. They start again
// under their IDs, at other addresses.
func runMoved(y *yard, hasTrouble bool) (isBroken bool, err error) {
	y.publish(movedConfiguration)
	for _, k := range kinds {
		for i := range serversPerService {
			s := &server{id: fmt.Sprintf("i-%s-%d", k.service, i+1), service: k.service, zone: zones[i%len(zones)], slots: 6, coldTime: 3 * time.Second, work: func(*http.Request) time.Duration { return k.work }}
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
	time.Sleep(2 * time.Second)
	l := &kindLoad{yard: y, stop: make(chan struct{}), sent: map[string]int{}, served: map[string]int{}}
	for _, k := range kinds {
		l.wait.Go(func() { l.send(k) })
	}
	time.Sleep(beforeReturns)
	for _, z := range zones {
		if hasTrouble {
			if err := y.returnServers("khata", z); err != nil {
				return false, err
			}
		} else {
			time.Sleep(downTime)
		}
		time.Sleep(returnInterval - downTime)
	}
	l.printShares("soon after the last servers were back")
	time.Sleep(afterReturns)
	close(l.stop)
	l.wait.Wait()
	return l.judge(), nil
}

// returnServers lets the servers of a service in a zone crash and start again under their IDs.
func (y *yard) returnServers(service, zone string) error {
	var down []*server
	for _, s := range y.servers {
		if s.service == service && s.zone == zone {
			s.crash()
			y.record.printf("server %s crashes", s.id)
			down = append(down, s)
		}
	}
	time.Sleep(downTime)
	for _, s := range down {
		s.makeCold()
		start := y.startServer
		if os.Getenv("MOVE") == "0" {
			start = y.startServerInPlace
		}
		if err := start(s); err != nil {
			return err
		}
	}
	return nil
}

// kindLoad sends requests of all kinds.
type kindLoad struct {
	yard *yard
	stop chan struct{}
	wait sync.WaitGroup

	mu           sync.Mutex
	count        int
	sent, served map[string]int
}

// send sends the requests of a kind until the end.
func (l *kindLoad) send(k kind) {
	client := &http.Client{Timeout: time.Duration(k.deadlineMs) * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	ticker := time.NewTicker(time.Second / time.Duration(k.perS))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.wait.Go(func() { l.request(client, k) })
		case <-l.stop:
			return
		}
	}
}

// request sends one request and records the answer.
func (l *kindLoad) request(client *http.Client, k kind) {
	l.mu.Lock()
	l.count++
	n := l.count
	l.sent[k.name]++
	l.mu.Unlock()
	node, id := l.yard.nodes[n%len(l.yard.nodes)], fmt.Sprintf("%016x", n)
	req, err := http.NewRequest(k.method, fmt.Sprintf("http://%s/%s/%x", node.front, k.name, n), nil)
	if err != nil {
		l.yard.record.printf("%s: %v", id, err)
		return
	}
	req.Host = "jepu9.example"
	req.Header.Set("X-Apricotmount-Attempt-Id", id)
	req.Header.Set("X-Apricotmount-Deadline-Ms", fmt.Sprint(k.deadlineMs))
	resp, err := client.Do(req)
	if err != nil {
		l.yard.record.printf("%s %s at %s: %v", k.name, id, node.name, err)
		return
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	l.yard.record.printf("%s %s at %s gets %d", k.name, id, node.name, resp.StatusCode)
	if err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served[k.name]++
}

// printShares records which share of each kind was served so far, and returns the least share and
// that of all requests.
func (l *kindLoad) printShares(when string) (least, all float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	least = 1
	sent, served := 0, 0
	for _, k := range kinds {
		share := float64(l.served[k.name]) / float64(l.sent[k.name])
		l.yard.record.printf("%s: %s served %d of %d, %.3f", when, k.name, l.served[k.name], l.sent[k.name], share)
		least = min(least, share)
		sent, served = sent+l.sent[k.name], served+l.served[k.name]
	}
	all = float64(served) / float64(sent)
	l.yard.record.printf("%s: all served %d of %d, %.3f", when, served, sent, all)
	return least, all
}

// judge returns whether a kind of request was served less than a quarter as often as all.
func (l *kindLoad) judge() (isBroken bool) {
	least, all := l.printShares("in all")
	return least < all/4
}
