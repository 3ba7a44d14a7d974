package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// newCaller returns a client that keeps its connections until they end.
func newCaller() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 5 * time.Second}
}

// call sends calls to nodes until ctx ends, over connections that it keeps until
// the process at the other end is gone.
func (w *world) call(ctx context.Context, rng *rand.Rand) {
	client := newCaller()
	for i := 0; ctx.Err() == nil; i++ {
		n := w.nodes[rng.IntN(len(w.nodes))]
		kind := [...]string{"safe", "unsafe", "since"}[rng.IntN(3)]
		id := fmt.Sprintf("%s-%d-%d", kind, rng.Uint64(), i)
		w.account.sent(id, kind == "unsafe", n)
		if kind == "since" {
			w.askSince(ctx, client, n, id, rng.IntN(2) == 0)
		} else {
			began := time.Now()
			status, err := w.send(ctx, client, n, id, kind)
			if ctx.Err() != nil {
				return
			}
			w.judge(n, id, began, status, err)
		}
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
}

// question is what a caller asks a node by the route that came with a configuration.
type question struct {
	id string
	to *node
	// asked is the configuration's place and published when it was published; start
	// counts the node's processes, of which this one was seen to hold held.
	asked, held, start int
	published          time.Time
	// overdue says that the newest configuration must be in force at the node.
	overdue bool
}

// askSince asks a node for the newest configuration, or for the newest that the node
// was seen to hold.
func (w *world) askSince(ctx context.Context, client *http.Client, n *node, id string, newest bool) {
	q := question{id: id, to: n}
	q.start, q.held = n.held()
	q.asked, q.published = w.newest()
	q.overdue = newest && w.overdue(n, q.published)
	if !newest {
		q.asked = q.held
	}
	began := time.Now()
	status, err := w.send(ctx, client, n, id, sinceRoute(q.asked))
	if ctx.Err() != nil {
		return
	}
	if status != http.StatusNotFound {
		w.judge(n, id, began, status, err)
	}
	w.judgeSince(q, status)
}

// judgeSince checks that a node does not go back to an older configuration, and that
// it takes a newer one in time.
func (w *world) judgeSince(q question, status int) {
	if status == http.StatusOK {
		q.to.saw(q.start, q.asked)
	}
	if status != http.StatusNotFound {
		return
	}
	w.account.told(q.id, "404", true)
	if start, _ := q.to.held(); q.asked <= q.held && start == q.start {
		w.account.broken("configuration-never-back", "%s: got 404 for a route of configuration %d, which %s has held", q.id, q.asked, q.to.name)
	}
	if q.overdue {
		w.account.broken("configuration-in-force", "%s: got 404 at %s for a route of configuration %d, published %s before", q.id, q.to.name, q.asked, time.Since(q.published).Round(time.Millisecond))
	}
}

// callDeadline is how long a caller waits for an answer.
const callDeadline = 3 * time.Second

// send makes one call and checks that its answer is whole and its own.
func (w *world) send(ctx context.Context, client *http.Client, n *node, id, kind string) (status int, err error) {
	method, body := http.MethodGet, io.Reader(nil)
	if kind == "unsafe" {
		method, body = http.MethodPost, strings.NewReader("pay "+id)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+"/"+kind+"/x", body)
	if err != nil {
		return 0, err
	}
	req.Host = host
	// The library may not send a call again by itself.
	req.GetBody = nil
	platformtest.SetRequestHeaders(req.Header, id, callDeadline)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode == http.StatusOK && !platformtest.IsTargetResponse(resp.Header, string(b), id) {
		w.account.broken("own-whole-answer", "%s: got %q with %v", id, b, resp.Header)
	}
	return resp.StatusCode, nil
}

// judge notes what a caller was told, and whether a planned stop cut its call.
func (w *world) judge(n *node, id string, began time.Time, status int, err error) {
	if err != nil {
		w.account.told(id, "broken", false)
		if isCut(err) && n.stoppedSince(began) && w.account.hasArrived(id) {
			w.account.broken("planned-stop", "%s at %s, after %s: %v", id, n.name, time.Since(began).Round(time.Millisecond), err)
		}
		return
	}
	notRun := status == 503 || status == 429 || status == 408 || status == 421
	w.account.told(id, fmt.Sprint(status), notRun)
	if status == http.StatusNotFound {
		w.account.broken("route-known", "%s at %s: got 404 for a route of every configuration", id, n.name)
	}
}

// isCut reports whether the connection ended before the answer did.
func isCut(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
