package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { scripts["pipelined"] = runPipelined }

const (
	pipelinedConns = 12
	// pipelinedDepth is the number of requests that a client sends at once.
	pipelinedDepth = 3
	// pipelinedWork is how long each takes, and leaveAfter when the clients leave.
	pipelinedWork = 1500 * time.Millisecond
	leaveAfter    = 400 * time.Millisecond
	// goneSlack is the time after a close for which the rule allows work.
	goneSlack = 500 * time.Millisecond
	// fewArrivals is the number of late arrivals that counts as a few.
	fewArrivals = 3
)

const pipelinedConfiguration = `{"version":3,"services":[{"name":"hisab","healthPath":"/health","maxConns":220,"warmupS":3.0,"warmupPerS":6.2}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"hosts":[{"host":"jepu9.example","paths":[{"name":"dues","pathPrefix":"/dues/","routeType":"safe","timeoutMs":6000,"targetLatencyMs":3000,"priority":2,"service":"hisab","maxAttempts":2}]}]}`

// pipelinedClient is a client that sends all its requests at once, and what became of it.
type pipelinedClient struct {
	ids      []string
	closedAt time.Time
	answers  int
}

// runPipelined lets clients send several safe requests before the first is answered. With the
// disruption they leave before their deadline.
func runPipelined(y *yard, hasTrouble bool) (isBroken bool, err error) {
	y.publish(pipelinedConfiguration)
	for i := range 6 {
		s := &server{id: fmt.Sprintf("i-hisab-%d", i+1), service: "hisab", zone: zones[i%len(zones)], slots: 6, work: func(*http.Request) time.Duration { return pipelinedWork }}
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
	clients := make([]*pipelinedClient, pipelinedConns)
	errs := make([]error, pipelinedConns)
	var wg sync.WaitGroup
	for i := range clients {
		clients[i] = &pipelinedClient{}
		wg.Go(func() { errs[i] = clients[i].run(y, i, hasTrouble) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return false, err
		}
	}
	if hasTrouble {
		// What goes on without the clients ends in this time.
		time.Sleep(pipelinedDepth*pipelinedWork + 2*time.Second)
	}
	return y.judgePipelined(clients), nil
}

// run sends the requests and reads the answers, or leaves.
func (c *pipelinedClient) run(y *yard, i int, leaves bool) error {
	time.Sleep(time.Duration(i) * 30 * time.Millisecond)
	conn, err := net.Dial("tcp", y.nodes[i%len(y.nodes)].front)
	if err != nil {
		return err
	}
	defer conn.Close()
	text := ""
	for j := range pipelinedDepth {
		id := fmt.Sprintf("%04x%012x", i, j)
		c.ids = append(c.ids, id)
		text += fmt.Sprintf("GET /dues/%d HTTP/1.1\r\nHost: jepu9.example\r\nX-Apricotmount-Attempt-Id: %s\r\nX-Apricotmount-Deadline-Ms: 6000\r\n\r\n", j, id)
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		return err
	}
	y.record.printf("client %d has sent %v", i, c.ids)
	if leaves {
		time.Sleep(leaveAfter)
		c.closedAt = time.Now()
		y.record.printf("client %d closes its connection", i)
		return nil
	}
	return c.readAnswers(y, i, conn)
}

// judgePipelined counts what reached the servers, and what they worked on, over half a second after
// the clients had closed their connections.
func (y *yard) judgePipelined(clients []*pipelinedClient) (isBroken bool) {
	owner := map[string]*pipelinedClient{}
	for _, c := range clients {
		for _, id := range c.ids {
			owner[id] = c
		}
	}
	lateArrivals, longRuns, lateRuns := 0, 0, 0
	for _, run := range y.allRuns() {
		c := owner[run.id]
		if c == nil {
			continue
		}
		y.record.printf("a server ran %s from %.3f to %.3f s, dropped %v", run.id, run.at.Sub(y.record.start).Seconds(), run.ended.Sub(y.record.start).Seconds(), run.isDropped)
		if c.closedAt.IsZero() {
			continue
		}
		limit := c.closedAt.Add(goneSlack)
		if run.at.After(limit) {
			lateArrivals++
			continue
		}
		if run.at.Add(pipelinedWork).After(limit) {
			longRuns++
			if run.ended.After(limit) {
				lateRuns++
			}
		}
	}
	y.record.printf("reached a server over %s after the close: %d requests", goneSlack, lateArrivals)
	y.record.printf("still at work %s after the close: %d of %d requests that would have lasted so long", goneSlack, lateRuns, longRuns)
	answers := 0
	for _, c := range clients {
		answers += c.answers
	}
	y.record.printf("answers with 200: %d", answers)
	return lateArrivals > fewArrivals || 4*lateRuns > longRuns
}

// readAnswers reads one answer for each request.
func (c *pipelinedClient) readAnswers(y *yard, i int, conn net.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	r := bufio.NewReader(conn)
	for _, id := range c.ids {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			y.record.printf("client %d gets no answer to %s: %v", i, id, err)
			return nil
		}
		body, err := io.ReadAll(resp.Body)
		y.record.printf("client %d gets %d for %s, body %q (%v)", i, resp.StatusCode, id, body, err)
		if resp.StatusCode == http.StatusOK {
			c.answers++
		}
	}
	return nil
}
