package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/node"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/standin"
)

// balancer stands for the platform's balancer: it sends to nodes that were
// ready when it last looked.
type balancer struct {
	mu    sync.Mutex
	nodes []*node.Node
	ready []*node.Node
	turn  atomic.Uint64
}

// balancerTick is how often the balancer looks at readiness.
const balancerTick = 300 * time.Millisecond

func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		b.look(ctx)
		time.Sleep(balancerTick)
	}
}

func (b *balancer) look(ctx context.Context) {
	b.mu.Lock()
	nodes := b.nodes
	b.mu.Unlock()
	var up []*node.Node
	for _, n := range nodes {
		if ready(ctx, n) {
			up = append(up, n)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = up
}

func (b *balancer) set(nodes []*node.Node) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = append([]*node.Node(nil), nodes...)
}

// pick returns the next ready node, or nil.
func (b *balancer) pick() *node.Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	return b.ready[b.turn.Add(1)%uint64(len(b.ready))]
}

// kind is one kind of caller.
type kind struct {
	service service.Name
	method  string
	rate    float64
	keyed   bool
}

// Rates of the callers, in calls per second.
var kinds = []kind{
	{service: roundbook, method: http.MethodGet, rate: 300},
	{service: khata, method: http.MethodPost, rate: 60, keyed: true},
	{service: hisab, method: http.MethodGet, rate: 80},
}

// duplicateShare is how many keyed calls are sent twice at once, through two
// nodes, as a fraction.
const duplicateShare = 0.1

// record is a caller's own account of one call.
type record struct {
	id      string
	service service.Name
	keyed   bool
	// duplicate says that it is the second sending of another record's call.
	duplicate bool
	outcome   outcome.Outcome
	reason    string
	truncated bool
	// broken says that the connection broke under the call.
	broken bool
	node   *node.Node
	sent   time.Time
	took   time.Duration
}

// callers send calls and keep their own account.
type callers struct {
	balancer *balancer
	client   *http.Client
	seed     uint64

	wg      sync.WaitGroup
	mu      sync.Mutex
	records []record
	latency map[service.Name]*hdrhistogram.Histogram
}

// Bounds of latencies, in microseconds, and their precision.
const (
	lowestMicros  = 1
	highestMicros = 120_000_000
	digits        = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

func newCallers(b *balancer, seed uint64) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	c := &callers{balancer: b, client: &http.Client{Transport: transport}, seed: seed, latency: map[service.Name]*hdrhistogram.Histogram{}}
	for _, k := range kinds {
		c.latency[k.service] = newHistogram()
	}
	return c
}

// run sends calls of one kind at random instants until ctx ends.
func (c *callers) run(ctx context.Context, k kind, index int) {
	rng := rand.New(rand.NewPCG(c.seed, uint64(index)))
	for number := 0; ctx.Err() == nil; number++ {
		gap := time.Duration(rng.ExpFloat64() / k.rate * float64(time.Second))
		timer := time.NewTimer(gap)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		id := fmt.Sprintf("%s-%d", k.service, number)
		key := uuid.NewString()
		c.wg.Go(func() { c.call(k, id, key, false) })
		if k.keyed && rng.Float64() < duplicateShare {
			c.wg.Go(func() { c.call(k, id, key, true) })
		}
	}
}

// call sends one call and keeps its account.
func (c *callers) call(k kind, id, key string, duplicate bool) {
	rec := record{id: id, service: k.service, keyed: k.keyed, duplicate: duplicate, sent: time.Now(), node: c.balancer.pick()}
	if rec.node != nil {
		c.exchange(k, key, &rec)
	} else {
		rec.outcome, rec.reason = outcome.NotRun, "no-node"
	}
	rec.took = time.Since(rec.sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, rec)
	if rec.outcome == outcome.Done && !duplicate {
		// The latency lies within the histogram's bounds.
		_ = c.latency[k.service].RecordValue(rec.took.Microseconds())
	}
}

func (c *callers) exchange(k kind, key string, rec *record) {
	url := "http://" + rec.node.Addresses().Callers + "/" + string(k.service) + "/" + rec.id
	var body io.Reader
	if k.method == http.MethodPost {
		body = strings.NewReader(rec.id)
	}
	req, err := http.NewRequest(k.method, url, body)
	if err != nil {
		panic(err)
	}
	// What the callers' own library would send again must not be counted here.
	req.GetBody = nil
	req.Header.Set(standin.HeaderCall, rec.id)
	if k.keyed {
		req.Header.Set(entry.HeaderKey, key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		rec.outcome, rec.reason, rec.broken = outcome.Unknown, "connection-broken", true
		return
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	rec.outcome = outcome.Outcome(resp.Header.Get(entry.HeaderOutcome))
	rec.reason = resp.Header.Get(entry.HeaderReason)
	if err != nil {
		rec.outcome, rec.reason, rec.broken = outcome.Unknown, "answer-broken", true
		return
	}
	if rec.outcome == outcome.Done && resp.StatusCode == http.StatusOK {
		rec.truncated = len(b) != answerBytes || !strings.HasPrefix(string(b), rec.id+" ")
	}
}

// answerBytes is the length of the targets' answers.
const answerBytes = 256

// measureAdded sends calls through a node and straight to a target in turn.
func (c *callers) measureAdded(ctx context.Context, target string) (through, direct *hdrhistogram.Histogram, err error) {
	through, direct = newHistogram(), newHistogram()
	for ctx.Err() == nil {
		n := c.balancer.pick()
		if n == nil {
			time.Sleep(readyTick)
			continue
		}
		err = errors.Join(err,
			c.timeOne("http://"+n.Addresses().Callers+"/straight/x", through),
			c.timeOne("http://"+target+"/straight/x", direct))
		time.Sleep(addedEvery)
	}
	return through, direct, err
}

// addedEvery is the pause between two measurements of added time.
const addedEvery = 2 * time.Millisecond

func (c *callers) timeOne(url string, h *hdrhistogram.Histogram) error {
	began := time.Now()
	resp, err := c.client.Get(url)
	if err != nil {
		// A node that was stopped a moment ago; the calls' own account tells.
		return nil
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return nil
	}
	return h.RecordValue(time.Since(began).Microseconds())
}
