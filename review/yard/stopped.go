package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scripts["stopped"] = runStopped }

const (
	stoppedClients = 12
	// sendInterval is the time between two requests of a client, and maxOutstanding the number
	// that it sends before the first is answered.
	sendInterval   = 60 * time.Millisecond
	maxOutstanding = 3
	stoppedWork    = 250 * time.Millisecond
	answerBytes    = 30000
	beforeStop     = 2 * time.Second
	afterStop      = 8 * time.Second
)

const stoppedConfiguration = `{"version":3,"services":[{"name":"hisab","healthPath":"/health","maxConns":220,"warmupS":3.0,"warmupPerS":6.2}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"hosts":[{"host":"jepu9.example","paths":[{"name":"dues","pathPrefix":"/dues/","routeType":"safe","timeoutMs":3000,"targetLatencyMs":1500,"priority":2,"service":"hisab","maxAttempts":2}]}]}`

// runStopped lets clients send further safe requests before the first is answered. With the
// disruption, their node is stopped as planned.
func runStopped(y *yard, hasTrouble bool) (isBroken bool, err error) {
	y.publish(stoppedConfiguration)
	for i := range 6 {
		s := &server{id: fmt.Sprintf("i-hisab-%d", i+1), service: "hisab", zone: zones[i%len(zones)], slots: 6, answerBytes: answerBytes, work: func(*http.Request) time.Duration { return stoppedWork }}
		if err := y.addServer(s); err != nil {
			return false, err
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
	n := y.nodes[0]
	k, err := newLink(n.front)
	if err != nil {
		return false, err
	}
	y.closers = append(y.closers, k.close)
	clients := make([]*steadyClient, stoppedClients)
	var wg sync.WaitGroup
	end := time.Now().Add(beforeStop + afterStop)
	for i := range clients {
		clients[i] = &steadyClient{yard: y, number: i, sentAt: map[string]time.Time{}}
		wg.Go(func() { clients[i].run(k.address(), end) })
	}
	time.Sleep(beforeStop)
	if hasTrouble {
		y.record.printf("%s gets SIGTERM", n.name)
		if err := n.signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	wg.Wait()
	return y.judgeStopped(clients), nil
}

// steadyClient keeps a connection and sends up to maxOutstanding requests before the first is
// answered.
type steadyClient struct {
	yard   *yard
	number int

	mu     sync.Mutex
	count  int
	sentAt map[string]time.Time
	order  []string
	// complete counts the whole answers, and cut holds the request whose answer broke off.
	complete int
	cut      []string
}

// run uses one connection until the node closes it or the time is over.
func (c *steadyClient) run(address string, end time.Time) {
	time.Sleep(time.Duration(c.number) * 13 * time.Millisecond)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		c.yard.record.printf("client %d: %v", c.number, err)
		return
	}
	defer conn.Close()
	free := make(chan struct{}, maxOutstanding)
	sent := make(chan string, maxOutstanding)
	done := make(chan struct{})
	go func() {
		defer close(sent)
		for time.Now().Before(end) {
			select {
			case free <- struct{}{}:
			case <-done:
				return
			}
			id, err := c.sendOne(conn)
			if err != nil {
				return
			}
			sent <- id
			time.Sleep(sendInterval)
		}
	}()
	defer close(done)
	r := bufio.NewReader(conn)
	for id := range sent {
		if !c.readOne(conn, r, id) {
			return
		}
		<-free
	}
}

// sendOne sends a request.
func (c *steadyClient) sendOne(conn net.Conn) (id string, err error) {
	c.mu.Lock()
	c.count++
	id = fmt.Sprintf("%04x%012x", c.number, c.count)
	c.sentAt[id] = time.Now()
	c.order = append(c.order, id)
	c.mu.Unlock()
	_, err = fmt.Fprintf(conn, "GET /dues/%s HTTP/1.1\r\nHost: jepu9.example\r\nX-Apricotmount-Attempt-Id: %s\r\nX-Apricotmount-Deadline-Ms: 3000\r\n\r\n", id, id)
	return id, err
}

// readOne reads an answer, and reports whether the connection may be used further.
func (c *steadyClient) readOne(conn net.Conn, r *bufio.Reader, id string) bool {
	// An error shows in the read that follows.
	_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		c.yard.record.printf("client %d gets no answer to %s: %v", c.number, id, err)
		c.cut = append(c.cut, id)
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.yard.record.printf("client %d gets %d for %s, of which %d of %d bytes arrive: %v", c.number, resp.StatusCode, id, len(body), resp.ContentLength, err)
		c.cut = append(c.cut, id)
		return false
	}
	c.yard.record.printf("client %d gets %d for %s, %d bytes, closing %v", c.number, resp.StatusCode, id, len(body), resp.Close)
	c.complete++
	return !resp.Close
}

// judgeStopped returns whether a connection ended without a complete answer to a request that had
// been passed on to a server.
func (y *yard) judgeStopped(clients []*steadyClient) (isBroken bool) {
	runs := map[string]runOfRequest{}
	for _, r := range y.allRuns() {
		runs[r.id] = r
	}
	complete, lost := 0, 0
	for _, c := range clients {
		complete += c.complete
		for _, id := range c.cut {
			r, hasRun := runs[id]
			if !hasRun {
				y.record.printf("%s was not passed on to a server, so it does not count", id)
				continue
			}
			lost++
			y.record.printf("%s was sent at %.3f s, a server finished it at %.3f s (dropped: %v), and its answer is not complete", id, c.sentAt[id].Sub(y.record.start).Seconds(), r.ended.Sub(y.record.start).Seconds(), r.isDropped)
		}
	}
	y.record.printf("whole answers: %d; answers that were lost: %d", complete, lost)
	return lost > 0
}
