package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for a server of a service. It drops a request when its connection closes,
// as most servers do.
type server struct {
	id, service, zone string
	slots             int
	// address is that of the last process.
	address string
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration

	slotsOnce        sync.Once
	free             chan struct{}
	running, waiting atomic.Int64

	// answerBytes is the least length of an answer.
	answerBytes int
	// answersEarly makes the server answer before it has read a long body. It keeps the
	// connection and reads on.
	answersEarly bool
	// clockAhead is how far the clock of the server's machine is ahead.
	clockAhead time.Duration

	mu   sync.Mutex
	runs []*runOfRequest
	// closeProcess ends the process that runs, and ended is closed then; nil if none runs.
	closeProcess func()
	ended        chan struct{}
	// isDraining reports whether the server is about to leave.
	isDraining bool
	// drained lets the server write its entry at once.
	drained chan struct{}
}

// setProcess records the process that runs.
func (s *server) setProcess(closeProcess func(), ended chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeProcess, s.ended = closeProcess, ended
}

// crash ends the process: its port is closed and its connections break. It writes nothing more.
func (s *server) crash() {
	s.mu.Lock()
	closeProcess, ended := s.closeProcess, s.ended
	s.closeProcess, s.ended = nil, nil
	s.mu.Unlock()
	if closeProcess != nil {
		close(ended)
		closeProcess()
	}
}

// state returns the state that the server writes about itself.
func (s *server) state() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDraining {
		return "draining"
	}
	return "ready"
}

// drain makes the server say that it is about to leave.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining = true
	s.drained <- struct{}{}
}

// runOfRequest is one request that the server began to work on.
type runOfRequest struct {
	id, path, tenant string
	at               time.Time
	// ended is when the work ended; zero while it goes on.
	ended     time.Time
	isDropped bool
}

// queueLength is the number of requests that wait for a slot.
const queueLength = 12

// ServeHTTP serves a request or a health check.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.slotsOnce.Do(func() { s.free = make(chan struct{}, s.slots) })
	h := w.Header()
	h.Set("X-Apricotmount-Server-Load", fmt.Sprintf("%d,%d,%d,100", s.running.Load(), s.waiting.Load(), s.slots))
	if r.URL.Path == "/health" {
		h.Set("X-Apricotmount-Instance-Id", s.id)
		h.Set("X-Apricotmount-Warmup-Ms", "0")
		return
	}
	id := r.Header.Get("X-Apricotmount-Attempt-Id")
	h.Set("X-Apricotmount-Attempt-Id", id)
	if expected := r.Header.Get("X-Apricotmount-Target-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.answersEarly && r.ContentLength > longBody {
		s.answerEarly(w, r, id)
		return
	}
	// A body that breaks off ends the connection, and with it the request.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !s.takeSlot(r) {
		h.Set("X-Apricotmount-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := s.begin(r, id)
	limit := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("X-Apricotmount-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	work := s.work(r)
	select {
	case <-time.After(min(work, limit)):
	case <-r.Context().Done():
	}
	s.end(run, r.Context().Err() != nil)
	h.Set("X-Apricotmount-Response-Stamp", "stamp."+s.id+"."+id)
	if work > limit {
		w.WriteHeader(http.StatusGatewayTimeout)
	}
	// An error means that the connection has closed.
	_, _ = io.WriteString(w, s.answer(id))
}

// readOnDelay is the time from an early answer until the server reads the rest of the body.
const readOnDelay = 100 * time.Millisecond

// longBody is the length from which a body is long, in bytes.
const longBody = 1000

// answer returns the body of an answer.
func (s *server) answer(id string) string {
	text := fmt.Sprintf("answer to %s by %s\n", id, s.id)
	return text + strings.Repeat(".", max(0, s.answerBytes-len(text)))
}

// answerEarly answers a request before its body was read, and then reads the body.
func (s *server) answerEarly(w http.ResponseWriter, r *http.Request, id string) {
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, &runOfRequest{id: id, path: r.URL.Path, at: time.Now(), ended: time.Now()})
	s.mu.Unlock()
	answer := s.answer(id)
	w.Header().Set("X-Apricotmount-Response-Stamp", "stamp."+s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	// Errors mean that the connection has closed.
	_, _ = io.WriteString(w, answer)
	_ = control.Flush()
	time.Sleep(readOnDelay)
	_, _ = io.Copy(io.Discard, r.Body)
}

// takeSlot waits for a slot, or reports false if the queue is full or the connection has closed.
func (s *server) takeSlot(r *http.Request) bool {
	if s.waiting.Add(1) > queueLength {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	select {
	case s.free <- struct{}{}:
		s.running.Add(1)
		return true
	case <-r.Context().Done():
		return false
	}
}

// begin records that the work on a request begins.
func (s *server) begin(r *http.Request, id string) *runOfRequest {
	run := &runOfRequest{id: id, path: r.URL.Path, tenant: r.Header.Get("X-Apricotmount-Tenant"), at: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
	return run
}

// end records that the work on a request ends, and frees its slot.
func (s *server) end(run *runOfRequest, isDropped bool) {
	s.running.Add(-1)
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	run.ended, run.isDropped = time.Now(), isDropped
}

// allRuns returns copies of what the servers have run.
func (y *yard) allRuns() (runs []runOfRequest) {
	for _, s := range y.servers {
		s.mu.Lock()
		for _, r := range s.runs {
			runs = append(runs, *r)
		}
		s.mu.Unlock()
	}
	return runs
}
