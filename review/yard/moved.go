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

const movedConfiguration = `{"version":%d,"services":[{"name":"roundbook","healthPath":"/health","maxConns":220,"warmupS":3.0,"warmupPerS":6.2},
{"name":"khata","healthPath":"/health","maxConns":220,"warmupS":3.0,"warmupPerS":6.2},{"name":"hisab","healthPath":"/health","maxConns":220,"warmupS":3.0,"warmupPerS":6.2}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"hosts":[{"host":"jepu9.example","paths":[
{"name":"sheet","pathPrefix":"/sheet/","routeType":"safe","timeoutMs":1200,"targetLatencyMs":600,"priority":2,"service":"roundbook","maxAttempts":2},
{"name":"pay","pathPrefix":"/pay/","routeType":"unsafe","timeoutMs":1500,"targetLatencyMs":800,"priority":1,"service":"khata","maxAttempts":1},
{"name":"dues","pathPrefix":"/dues/","routeType":"safe","timeoutMs":3000,"targetLatencyMs":1500,"priority":2,"service":"hisab","maxAttempts":2}%s]}]}`

// addedRoute is the route that the operator adds.
const addedRoute = `,
{"name":"bill","pathPrefix":"/bill/","routeType":"unsafe","timeoutMs":1500,"targetLatencyMs":800,"priority":1,"service":"khata","maxAttempts":1}`

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

// addedKind is the kind of request of the route that the operator adds.
var addedKind = kind{"bill", "khata", http.MethodPost, 290 * time.Millisecond, 2, 3000}

const (
	serversPerService = 6
	// returnInterval is the time between the failures of two zones, and downTime how long the
	// servers of a zone are down.
	returnInterval = 5 * time.Second
	downTime       = 2 * time.Second
	beforeReturns  = 4 * time.Second
	afterReturns   = 65 * time.Second
	// settleTime is the time from the change of the configuration until all is calm for long.
	settleTime = 10 * time.Second
	// minAdded is the number of requests on added routes from which the rule applies.
	minAdded = 20
)

// runMoved lets the operator add a route of a service. With the disruption, the servers of that
// service have gone down and come back before, zone by zone. They start again under their IDs, at
// other addresses.
func runMoved(y *yard, hasTrouble bool) (isBroken bool, err error) {
	y.publish(fmt.Sprintf(movedConfiguration, 3, ""))
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
	y.record.printf("the operator adds a route")
	y.publish(fmt.Sprintf(movedConfiguration, 5, addedRoute))
	time.Sleep(settleTime)
	l.wait.Go(func() { l.send(addedKind) })
	before := l.printShares("before the steady state", kinds)
	time.Sleep(afterReturns)
	close(l.stop)
	l.wait.Wait()
	return l.judge(before), nil
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

// shares are numbers of requests that were sent, and of those that were served.
type shares struct{ sent, served int }

func (s shares) share() float64 { return float64(s.served) / float64(max(1, s.sent)) }

// printShares records how many requests of some kinds were served so far, and returns their sum.
func (l *kindLoad) printShares(when string, kinds []kind) (sum shares) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range kinds {
		one := shares{l.sent[k.name], l.served[k.name]}
		l.yard.record.printf("%s: %s served %d of %d, %.3f", when, k.name, one.served, one.sent, one.share())
		sum.sent, sum.served = sum.sent+one.sent, sum.served+one.served
	}
	return sum
}

// judge returns whether, in the steady state, requests on the added route were served less than a
// quarter as often as those on the first routes.
func (l *kindLoad) judge(before shares) (isBroken bool) {
	first := l.printShares("in all", kinds)
	added := l.printShares("in all", []kind{addedKind})
	first.sent, first.served = first.sent-before.sent, first.served-before.served
	l.yard.record.printf("in the steady state: first routes %d of %d, %.3f; added route %d of %d, %.3f", first.served, first.sent, first.share(), added.served, added.sent, added.share())
	return added.sent >= minAdded && added.share() < first.share()/4
}
