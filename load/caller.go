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
	"github.com/apricotmount/apricotmount/replyconn"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/standin"
)

// Workload describes the calls of one kind of caller.
type Workload struct {
	Service service.Name
	Method  string
	// CallsPerSecond is the mean number of calls per second.
	CallsPerSecond float64
	// Keyed gives each call an idempotency key.
	Keyed bool
	// DuplicateFraction is the fraction of keyed calls that are sent twice concurrently,
	// each through the next node of the balancer.
	DuplicateFraction float64
}

// Record is a caller's record of one call.
type Record struct {
	ID      string
	Service service.Name
	Keyed   bool
	// IsDuplicate reports that this is the second copy of another record's call.
	IsDuplicate bool
	Outcome     outcome.Outcome
	Reason      string
	// IsTruncated reports that the response had outcome done and status 200 but not
	// the expected body.
	IsTruncated bool
	// ConnectionBroken reports that the connection failed during the call.
	ConnectionBroken bool
	Node             Endpoint
	SentAt           time.Time
	Latency          time.Duration
}

// Bounds of recorded latencies, in microseconds, and the number of significant
// digits.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
)

// NewHistogram returns an empty histogram of latencies in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

// PercentileMillis returns a percentile of a histogram made by NewHistogram, in
// milliseconds.
func PercentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// Callers send calls and record their outcomes.
type Callers struct {
	Balancer *Balancer
	// Seed seeds the random send times.
	Seed uint64
	// ResponseBytes is the length of a complete response body; zero disables the
	// check.
	ResponseBytes int

	client   http.Client
	inFlight sync.WaitGroup
	mu       sync.Mutex
	records  []Record
}

// maxIdleConnsPerNode is the maximum number of idle connections to one node.
const maxIdleConnsPerNode = 64

// NewCallers returns callers that send through a balancer.
func NewCallers(b *Balancer, seed uint64, responseBytes int) *Callers {
	transport := replyconn.NewTransport(replyconn.Settings{})
	transport.MaxIdleConnsPerHost = maxIdleConnsPerNode
	return &Callers{Balancer: b, Seed: seed, ResponseBytes: responseBytes, client: http.Client{Transport: transport}}
}

// Run sends the calls of a workload as a Poisson process until ctx ends. It does not
// wait for earlier calls. index selects the random sequence and is part of the call
// IDs, so it must differ between runs for the same service.
func (c *Callers) Run(ctx context.Context, w Workload, index int) {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(index)))
	for number := 0; ; number++ {
		pause.For(ctx, time.Duration(rng.ExpFloat64()/w.CallsPerSecond*float64(time.Second)))
		if ctx.Err() != nil {
			return
		}
		id := fmt.Sprintf("%s-%d-%d", w.Service, index, number)
		key := uuid.NewString()
		c.inFlight.Go(func() { c.sendCall(w, id, key, false) })
		if w.Keyed && rng.Float64() < w.DuplicateFraction {
			c.inFlight.Go(func() { c.sendCall(w, id, key, true) })
		}
	}
}

// Wait waits for the calls in flight.
func (c *Callers) Wait() {
	c.inFlight.Wait()
}

// Records returns a copy of the records of all calls that have ended.
func (c *Callers) Records() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Record(nil), c.records...)
}

// sendCall sends one call and records it.
func (c *Callers) sendCall(w Workload, id, key string, isDuplicate bool) {
	rec := Record{ID: id, Service: w.Service, Keyed: w.Keyed, IsDuplicate: isDuplicate, SentAt: time.Now()}
	node, ok := c.Balancer.Pick()
	if ok {
		rec.Node = node
		c.roundTrip(w, key, &rec)
	} else {
		rec.Outcome, rec.Reason = outcome.NotRun, "no-node-is-ready"
	}
	rec.Latency = time.Since(rec.SentAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, rec)
}

func (c *Callers) roundTrip(w Workload, key string, rec *Record) {
	url := "http://" + rec.Node.CallerAddress + "/" + string(w.Service) + "/" + rec.ID
	var body io.Reader
	if w.Method == http.MethodPost {
		body = strings.NewReader(rec.ID)
	}
	req, err := http.NewRequest(w.Method, url, body)
	if err != nil {
		rec.Outcome, rec.Reason = outcome.NotRun, err.Error()
		return
	}
	// Keep the HTTP client from retrying by itself: its retries would not be
	// counted.
	req.GetBody = nil
	req.Header.Set(standin.HeaderCallID, rec.ID)
	if w.Keyed {
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
