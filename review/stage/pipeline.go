package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The requests of the case, after `relatorio-historico` of ascentral-gw-grown.
const (
	reportService   = "arquivo-relatorios"
	reportWork      = 260 * time.Millisecond
	reportBytes     = 9_000
	reportTimeoutMs = 2_000
	reportAimMs     = 1_200
	// requestInterval is the time from one request on a connection to the next, and openRequests
	// the number of requests that a client sends ahead.
	requestInterval = 60 * time.Millisecond
	openRequests    = 3
	pipelineClients = 12
	// calmTime is the time between two planned stops.
	calmTime = 2 * time.Second
)

// pipelineCase sends safe requests ahead of the answers to earlier ones while processes are
// stopped as planned, one after the other.
func pipelineCase(s *site, withTrouble bool) (broken bool, err error) {
	s.publish(configuration(3, []string{reportService}, route("relatorio", "/relatorio/", "safe", reportService, reportTimeoutMs, reportAimMs, 2)))
	for i := range 12 {
		if err := s.addServer(fmt.Sprintf("i-report%d", i), reportService, zones[i%len(zones)], reportWork, reportBytes); err != nil {
			return false, err
		}
	}
	if err := s.startNodes(len(zones)); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	p := &pipelines{site: s, done: make(chan struct{})}
	var clients sync.WaitGroup
	for i := range pipelineClients {
		clients.Go(func() { p.run(i) })
	}
	time.Sleep(calmTime)
	for _, n := range s.nodes[:2] {
		if withTrouble {
			n.terminate()
			if err := n.start(); err != nil {
				return false, err
			}
		} else {
			time.Sleep(grace)
		}
		time.Sleep(calmTime)
	}
	close(p.done)
	clients.Wait()
	text := fmt.Sprintf("answered %d, run and cut off %d, not read %d", p.complete.Load(), p.cut.Load(), p.unread.Load())
	s.record.addf("%s", text)
	fmt.Println(text)
	return p.cut.Load() > 0, nil
}

// pipelines are the clients and how their requests ended.
type pipelines struct {
	site                  *site
	done                  chan struct{}
	complete, cut, unread atomic.Int64
	nextID                atomic.Int64
}

// isDone reports whether the clients are to stop.
func (p *pipelines) isDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// run uses one connection after the other, each to a process that is ready.
func (p *pipelines) run(i int) {
	for k := i; !p.isDone(); k++ {
		n := p.site.nodes[k%len(p.site.nodes)]
		if !n.isReady() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		conn, err := dialLink(n.front)
		if err != nil {
			continue
		}
		p.use(conn, n)
	}
}

// use sends requests over a connection, up to openRequests ahead of the answers, until an answer
// closes it.
func (p *pipelines) use(conn net.Conn, n *node) {
	defer conn.Close()
	var isClosing atomic.Bool
	open := make(chan string, openRequests-1)
	go func() {
		defer close(open)
		for !p.isDone() && !isClosing.Load() {
			id := fmt.Sprintf("p%06d", p.nextID.Add(1))
			open <- id
			p.site.record.addf("%s is sent to %s", id, n.name)
			_, err := fmt.Fprintf(conn, "GET /relatorio/%s HTTP/1.1\r\nHost: %s\r\nX-Apricotmount-Attempt-Id: %s\r\nX-Apricotmount-Deadline-Ms: %d\r\n\r\n", id, host, id, reportTimeoutMs)
			if err != nil {
				return
			}
			time.Sleep(requestInterval)
		}
	}()
	responses := bufio.NewReader(conn)
	for id := range open {
		if isClosing.Load() {
			// It was sent behind an answer that closes the connection.
			p.unread.Add(1)
			continue
		}
		isLast, err := p.read(conn, responses, id)
		isClosing.Store(isLast || err != nil)
		switch {
		case err == nil:
			p.complete.Add(1)
		case p.site.record.hasRun(id):
			p.cut.Add(1)
			p.site.record.addf("%s ran and its connection ended without a complete answer: %v", id, err)
		default:
			p.unread.Add(1)
		}
	}
}

// readTimeout is longer than any request may take.
const readTimeout = 4 * time.Second

// read reads the answer to a request; isLast reports whether it closes the connection.
func (p *pipelines) read(conn net.Conn, responses *bufio.Reader, id string) (isLast bool, err error) {
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
	resp, err := http.ReadResponse(responses, nil)
	if err != nil {
		return true, err
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return true, fmt.Errorf("%d bytes of %d: %w", len(b), resp.ContentLength, err)
	}
	p.site.record.addf("%s gets %d with %d bytes, close %v", id, resp.StatusCode, len(b), resp.Close)
	return resp.Close, nil
}
