package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// slots is the number of requests that a server runs at a time.
const slots = 6

// server is a stand-in for a server of a service. It may end and start again.
type server struct {
	site              *site
	id, service, zone string
	work              time.Duration

	mu       sync.Mutex
	address  string
	http     *http.Server
	born     int64
	sequence int
	lastBeat time.Time
	isListed bool
	stopBeat context.CancelFunc
	running  int
}

// addServer starts a server at a free address.
func (s *site) addServer(id, service, zone string, work time.Duration) (*server, error) {
	v := &server{site: s, id: id, service: service, zone: zone, work: work}
	s.mu.Lock()
	s.servers = append(append([]*server{}, s.servers...), v)
	s.mu.Unlock()
	return v, v.startAt("127.0.0.1:0")
}

// startAt starts the process of the server, which registers itself and writes heartbeats.
func (v *server) startAt(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.address = l.Addr().String()
	v.born, v.sequence, v.running = time.Now().UnixMilli(), 0, 0
	v.http = &http.Server{Handler: v}
	srv := v.http
	ctx, cancel := context.WithCancel(context.Background())
	v.stopBeat = cancel
	v.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	v.site.record.note("server %s (%s) starts at %s", v.id, v.service, l.Addr())
	v.beat()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				if ctx.Err() == nil {
					v.beat()
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return nil
}

// beat writes the entry of the server to the store.
func (v *server) beat() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sequence++
	v.lastBeat, v.isListed = time.Now(), true
	v.site.store.Put(platformtest.TargetsTopic, v.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","warmupLeftMs":0,"sequence":%d,"born":%d}`,
		v.service, v.address, v.zone, slots, v.sequence, v.born))
}

// expireIfSilent removes the entry of the server after three heartbeats of silence.
func (v *server) expireIfSilent() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isListed && time.Since(v.lastBeat) > lapseAfter*heartbeat {
		v.isListed = false
		v.site.store.Put(platformtest.TargetsTopic, v.id, "")
		v.site.record.note("the entry of server %s has lapsed", v.id)
	}
}

// end ends the process of the server, as a crash does, and returns its address.
func (v *server) end() (address string) {
	v.mu.Lock()
	srv := v.http
	v.http = nil
	address = v.address
	v.mu.Unlock()
	if srv == nil {
		return address
	}
	v.stopBeat()
	srv.Close()
	v.site.record.note("server %s ends", v.id)
	return address
}

// ServeHTTP serves a request or a health check.
func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	v.mu.Lock()
	running := v.running
	v.mu.Unlock()
	h.Set("X-Apricotmount-Server-Load", fmt.Sprintf("%d,0,%d,100", running, slots))
	if r.URL.Path == "/health" {
		h.Set("X-Apricotmount-Instance-Id", v.id)
		h.Set("X-Apricotmount-Warmup-Ms", "0")
		return
	}
	id := r.Header.Get("X-Apricotmount-Attempt-Id")
	h.Set("X-Apricotmount-Attempt-Id", id)
	if to := r.Header.Get("X-Apricotmount-Target-Instance"); to != "" && to != v.id {
		h.Set("X-Apricotmount-Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !v.begin() {
		h.Set("X-Apricotmount-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer v.finish()
	tenantName := r.Header.Get("X-Apricotmount-Tenant")
	v.site.recordRun(id, tenantName)
	v.site.recordTarget(id, r.RequestURI)
	v.site.record.note("server %s (%s) runs %s: %s %s %s", v.id, v.service, id, r.Method, r.RequestURI, tenantName)
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(v.work)
	h.Set("X-Apricotmount-Response-Stamp", "stamp-"+v.id)
	fmt.Fprintf(w, "%s ran %s for %s", v.id, id, v.service)
}

// recordTarget records the path and query with which a request runs.
func (s *site) recordTarget(id, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets == nil {
		s.targets = map[string]string{}
	}
	s.targets[id] = target
}

// receivedTarget returns the path and query with which a request has run; ran is false if it
// has not.
func (s *site) receivedTarget(id string) (target string, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	target, ran = s.targets[id]
	return target, ran
}

// begin takes a slot; it returns false if all are taken.
func (v *server) begin() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.running >= slots {
		return false
	}
	v.running++
	return true
}

func (v *server) finish() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.running--
}
