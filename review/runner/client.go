package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client gets for one request.
type answer struct {
	id     string
	sentAt time.Time
	status int
	// service is the service whose server has made the answer, by its body.
	service string
	err     error
}

// noKey is the key of a request without one.
const noKey = ""

var lastID atomic.Int64

// newID returns the ID of one client attempt.
func newID(prefix string) string { return fmt.Sprintf("%s-%06d", prefix, lastID.Add(1)) }

// ask sends one request to a node on a new connection. The target is written as it is.
func (s *site) ask(ctx context.Context, n *node, method, target, id, key string, deadline time.Duration) (a answer) {
	a = answer{id: id, sentAt: time.Now()}
	defer func() {
		s.record.note("client gets %d for %s (%s) from %s after %s %v", a.status, id, target, n.name, time.Since(a.sentAt).Round(time.Millisecond), a.err)
	}()
	ctx, cancel := context.WithTimeout(ctx, deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+"/", nil)
	if err != nil {
		a.err = err
		return a
	}
	req.URL = &url.URL{Scheme: "http", Host: n.callers, Opaque: target}
	req.Host = host
	req.Header.Set("X-Apricotmount-Attempt-Id", id)
	req.Header.Set("X-Apricotmount-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != noKey {
		req.Header.Set("X-Apricotmount-Credential", key)
	}
	s.record.note("client sends %s: %s %s to %s", id, method, target, n.name)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a.status, a.err = resp.StatusCode, err
	if _, name, ok := strings.Cut(string(b), " for "); ok && resp.Header.Get("X-Apricotmount-Response-Stamp") != "" {
		a.service = name
	}
	return a
}
