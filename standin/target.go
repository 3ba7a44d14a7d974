package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// HeaderCall names a call, so that the target's ledger can be held against the
// caller's own.
const HeaderCallID = "Call-Id"

// TargetSettings describe a target; zero values mean the defaults.
type TargetSettings struct {
	VM vm.VM
	// Slots is how many calls it serves at once. Default 6.
	Slots int
	// Queue is how many more wait before it refuses. Default 0.
	QueueLength int
	// ServiceTime is the mean time of a call. Default 8 ms.
	ServiceTime time.Duration
	// Spread is the sigma of the lognormal service time. Default 0.5.
	ServiceTimeSigma float64
	// ColdSlots is how many calls it bears in cold start. Default 1.
	ColdSlots int
	// ColdPeriod is how long a cold start lasts. Default 5 s.
	ColdPeriod time.Duration
	// ProbeTime is what a probe costs. Default 1 ms.
	ProbeTime time.Duration
	// AnswerBytes is the length of an answer's body. Default 256.
	ResponseBytes int
	// Seed starts the random service times. Default random.
	Seed uint64
}

func (s TargetSettings) withDefaults() TargetSettings {
	setDefault(&s.Slots, 6)
	setDefault(&s.ServiceTime, 8*time.Millisecond)
	setDefault(&s.ServiceTimeSigma, 0.5)
	setDefault(&s.ColdSlots, 1)
	setDefault(&s.ColdPeriod, 5*time.Second)
	setDefault(&s.ProbeTime, time.Millisecond)
	setDefault(&s.ResponseBytes, 256)
	if s.Seed == 0 {
		s.Seed = rand.Uint64()
	}
	return s
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Started is one call that a target started, in its ledger.
type StartedCall struct {
	CallID    string
	StartedAt time.Time
	Duration  time.Duration
	Finished  bool
	TargetID  vm.ID
}

// Totals are a target's counts.
type Totals struct {
	Started, Finished, Refused, Probes, ColdOverruns int
	// ProbeTime is the target time that probes took, WorkTime that calls took.
	ProbeTime, WorkTime time.Duration
}

// Target is a target that fails on request.
type Target struct {
	settings TargetSettings

	mu       sync.Mutex
	instance string
	state    target.State
	warmAt   time.Time
	open     int
	slots    chan struct{}
	slowness float64
	lying    bool
	failing  bool
	silent   bool
	calls    []*StartedCall
	totals   Totals
	rng      *rand.Rand
	server   *http.Server
	conns    map[net.Conn]bool
	// hushed are connections that stay open and say nothing more.
	hushed map[net.Conn]bool
	latest time.Time
}

// NewTarget returns a warm target that does not listen yet.
func NewTarget(s TargetSettings) *Target {
	s = s.withDefaults()
	return &Target{
		settings: s,
		instance: uuid.NewString()[:8],
		state:    target.Live,
		slots:    make(chan struct{}, s.Slots),
		slowness: 1,
		rng:      rand.New(rand.NewPCG(s.Seed, 1)),
		conns:    map[net.Conn]bool{},
		hushed:   map[net.Conn]bool{},
	}
}

// VM is the target's line in the platform's list.
func (t *Target) VM() vm.VM {
	return t.settings.VM
}

// Slots is how many calls the target serves at once.
func (t *Target) Slots() int {
	return t.settings.Slots
}

// Listen starts serving on an address; port 0 takes a free one.
func (t *Target) Listen(address string) (err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settings.VM.Address = vm.Address(l.Addr().String())
	t.server = &http.Server{Handler: t, ConnState: t.noteConn, ConnContext: withConn}
	go t.server.Serve(l)
	return nil
}

func (t *Target) noteConn(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s {
	case http.StateNew:
		t.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
		delete(t.hushed, c)
	}
}

// connKey finds a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Hush makes the connections open now go silent for good, while new ones work,
// as happens when something between the ends loses track of them.
func (t *Target) StallConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		t.hushed[c] = true
	}
}

// isHushed reports whether a request came over a connection that went silent.
func (t *Target) isHushed(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(net.Conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	return ok && t.hushed[c]
}

// Close ends the target at once, as a failing VM does.
func (t *Target) Close() {
	t.mu.Lock()
	server := t.server
	t.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

// Restart replaces the process: connections break, a new instance starts cold.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instance = uuid.NewString()[:8]
	t.state = target.Cold
	t.warmAt = time.Now().Add(t.settings.ColdPeriod)
	for c := range t.conns {
		c.Close()
	}
}

// SetState makes the target drain, leave or be live again.
func (t *Target) SetState(s target.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = s
	if s == target.Cold {
		t.warmAt = time.Now().Add(t.settings.ColdPeriod)
	}
}

// SetSlowness makes calls take so many times longer.
func (t *Target) SetServiceTimeFactor(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowness = max(factor, 0)
}

// SetLying makes the target report that it is idle.
func (t *Target) SetReportsIdle(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lying = on
}

// SetFailing makes the target answer 500 at once.
func (t *Target) SetFailing(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failing = on
}

// SetSilent makes the target swallow calls without an answer.
func (t *Target) SetUnresponsive(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = on
}

// Ledger returns the calls the target started.
func (t *Target) StartedCalls() []StartedCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]StartedCall, 0, len(t.calls))
	for _, c := range t.calls {
		out = append(out, *c)
	}
	return out
}

// Totals returns the target's counts.
func (t *Target) Totals() Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totals
}

// LatestStart is when the target last started a call.
func (t *Target) LatestStartTime() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest
}
