package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/apricotmount/apricotmount/entry"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/standin"
)

// Kind is one kind of caller.
type Workload struct {
	Service service.Name
	Method  string
	// Rate is how many calls are sent per second.
	CallsPerSecond float64
	// Keyed gives each call an idempotency key.
	Keyed bool
	// Duplicates is how many keyed calls are sent twice at once, through two
	// nodes, as a fraction.
	DuplicateFraction float64
}

// Record is a caller's own account of one call.
type Record struct {
	ID      string
	Service service.Name
	Keyed   bool
	// Duplicate says that it is the second sending of another record's call.
	IsDuplicate bool
	Outcome     outcome.Outcome
	Reason      string
	// Truncated says that the answer looked whole and was not.
	IsTruncated bool
	// Broken says that the connection broke under the call.
	ConnectionBroken bool
	Node             Endpoint
	SentAt           time.Time
	Latency          time.Duration
}

// Bounds of latencies, in microseconds, and their precision.
const (
	lowestMicros  = 1
	highestMicros = 120_000_000
	digits        = 3
)

// NewHistogram returns an empty histogram of latencies in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// Millis returns a percentile of a histogram in milliseconds.
func PercentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// Callers send calls and keep their own account.
type Callers struct {
	Balancer *Balancer
	// Seed starts the random instants.
	Seed uint64
	// AnswerBytes is the length that whole answers have; zero means that it is
	// not checked.
	ResponseBytes int

	client  http.Client
	wg      sync.WaitGroup
	mu      sync.Mutex
	records []Record
}

// idlePerNode is how many idle connections callers keep to one node.
const idlePerNode = 64

// NewCallers returns callers behind a balancer.
func NewCallers(b *Balancer, seed uint64, answerBytes int) *Callers {
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerNode, DisableCompression: true}
	return &Callers{Balancer: b, Seed: seed, ResponseBytes: answerBytes, client: http.Client{Transport: transport}}
}

// Run sends calls of one kind at random instants until ctx ends.
func (c *Callers) Run(ctx context.Context, k Workload, index int) {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(index)))
	for number := 0; ; number++ {
		pause.For(ctx, time.Duration(rng.ExpFloat64()/k.CallsPerSecond*float64(time.Second)))
		if ctx.Err() != nil {
			return
		}
		id := fmt.Sprintf("%s-%d-%d", k.Service, index, number)
		key := uuid.NewString()
		c.wg.Go(func() { c.call(k, id, key, false) })
		if k.Keyed && rng.Float64() < k.DuplicateFraction {
			c.wg.Go(func() { c.call(k, id, key, true) })
		}
	}
}

// Wait waits for the calls under way.
func (c *Callers) Wait() {
	c.wg.Wait()
}

// Records returns the account so far.
func (c *Callers) Records() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Record(nil), c.records...)
}

// call sends one call and keeps its account.
func (c *Callers) call(k Workload, id, key string, duplicate bool) {
	rec := Record{ID: id, Service: k.Service, Keyed: k.Keyed, IsDuplicate: duplicate, SentAt: time.Now()}
	node, ok := c.Balancer.Pick()
	if ok {
		rec.Node = node
		c.exchange(k, key, &rec)
	} else {
		rec.Outcome, rec.Reason = outcome.NotRun, "no-node-is-ready"
	}
	rec.Latency = time.Since(rec.SentAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, rec)
}

func (c *Callers) exchange(k Workload, key string, rec *Record) {
	url := "http://" + rec.Node.CallerAddress + "/" + string(k.Service) + "/" + rec.ID
	var body io.Reader
	if k.Method == http.MethodPost {
		body = strings.NewReader(rec.ID)
	}
	req, err := http.NewRequest(k.Method, url, body)
	if err != nil {
		rec.Outcome, rec.Reason = outcome.NotRun, err.Error()
		return
	}
	// What the callers' own library would send again must not be counted here.
	req.GetBody = nil
	req.Header.Set(standin.HeaderCallID, rec.ID)
	if k.Keyed {
		req.Header.Set(entry.HeaderIdempotencyKey, key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		rec.Outcome, rec.Reason, rec.ConnectionBroken = outcome.Unknown, "connection-broken", true
		return
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		rec.Outcome, rec.Reason, rec.ConnectionBroken = outcome.Unknown, "answer-broken", true
		return
	}
	rec.Outcome = outcome.Outcome(resp.Header.Get(entry.HeaderOutcome))
	rec.Reason = resp.Header.Get(entry.HeaderReason)
	if rec.Outcome == outcome.Done && resp.StatusCode == http.StatusOK && c.ResponseBytes > 0 {
		rec.IsTruncated = len(b) != c.ResponseBytes || !strings.HasPrefix(string(b), rec.ID+" ")
	}
}
