package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// server is a sound server of a service.
type server struct {
	site              *site
	id, service, zone string
	address           string
	work              time.Duration
	bodyBytes         int
	running, waiting  atomic.Int64
	slots             chan struct{}
	born              int64
}

const slotCount, queueLength = 4, 8

// addServer starts a server and its entry in the store.
func (s *site) addServer(id, service, zone string, work time.Duration, bodyBytes int) error {
	sv := &server{site: s, id: id, service: service, zone: zone, work: work, bodyBytes: bodyBytes, slots: make(chan struct{}, slotCount), born: time.Now().UnixMilli()}
	l, srv, err := serve(sv)
	if err != nil {
		return err
	}
	sv.address = l.Addr().String()
	s.servers = append(s.servers, sv)
	s.closers = append(s.closers, func() { srv.Close() })
	sv.write(1)
	s.beats.Go(func() {
		for seq := 2; ; seq++ {
			select {
			case <-s.stop:
				return
			case <-time.After(heartbeat):
				sv.write(seq)
			}
		}
	})
	return nil
}

// write writes the entry of the server.
func (sv *server) write(sequence int) {
	sv.site.store.Put(platformtest.TargetsTopic, sv.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","warmupLeftMs":0,"sequence":%d,"born":%d}`,
		sv.service, sv.address, sv.zone, slotCount, sequence, sv.born))
}

// ServeHTTP serves a request or a health check.
func (sv *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Apricotmount-Server-Load", fmt.Sprintf("%d,%d,%d,100", sv.running.Load(), sv.waiting.Load(), slotCount))
	if r.URL.Path == "/health" {
		h.Set("X-Apricotmount-Instance-Id", sv.id)
		return
	}
	id := r.Header.Get("X-Apricotmount-Attempt-Id")
	h.Set("X-Apricotmount-Attempt-Id", id)
	refuse := func(status int) {
		h.Set("X-Apricotmount-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if want := r.Header.Get("X-Apricotmount-Target-Instance"); want != "" && want != sv.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if sv.waiting.Load() >= queueLength {
		refuse(http.StatusServiceUnavailable)
		return
	}
	sv.waiting.Add(1)
	select {
	case sv.slots <- struct{}{}:
		sv.waiting.Add(-1)
	case <-r.Context().Done():
		sv.waiting.Add(-1)
		return
	}
	sv.running.Add(1)
	defer func() {
		sv.running.Add(-1)
		<-sv.slots
	}()
	sv.site.record.run(id, sv.id)
	select {
	case <-time.After(sv.work):
	case <-r.Context().Done():
		sv.site.record.addf("%s: the connection of %s closed while it ran", sv.id, id)
		return
	}
	h.Set("X-Apricotmount-Response-Stamp", "stamp-"+id)
	body := answerTo(id, sv.bodyBytes)
	h.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
	sv.site.record.addf("%s: %s is answered", sv.id, id)
}

// answerTo returns the body of the answer to a request.
func answerTo(id string, n int) string {
	start := "answer to " + id + "\n"
	return start + strings.Repeat("x", max(0, n-len(start)))
}

// record is what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	start  time.Time
	out    io.Writer
	runs   map[string][]string
	runsAt map[string]time.Time
}

func newRecord(out io.Writer) *record {
	return &record{start: time.Now(), out: out, runs: map[string][]string{}, runsAt: map[string]time.Time{}}
}

func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// run records that a server runs a request.
func (r *record) run(id, server string) {
	r.addf("%s runs %s", server, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], server)
	r.runsAt[id] = time.Now()
}

// hasRun reports whether a request was run by any server.
func (r *record) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs[id]) > 0
}
