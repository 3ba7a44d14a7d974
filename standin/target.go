package standin

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/wire"
)

// HeaderCall names a call, so that the target's ledger can be held against the
// caller's own.
const HeaderCall = "Call-Id"

// TargetSettings describe a target; zero values mean the defaults.
type TargetSettings struct {
	VM vm.VM
	// Slots is how many calls it serves at once. Default 6.
	Slots int
	// Queue is how many more wait before it refuses. Default 0.
	Queue int
	// ServiceTime is the mean time of a call. Default 8 ms.
	ServiceTime time.Duration
	// Spread is the sigma of the lognormal service time. Default 0.5.
	Spread float64
	// ColdSlots is how many calls it bears in cold start. Default 1.
	ColdSlots int
	// ColdPeriod is how long a cold start lasts. Default 5 s.
	ColdPeriod time.Duration
	// ProbeTime is what a probe costs. Default 1 ms.
	ProbeTime time.Duration
	// AnswerBytes is the length of an answer's body. Default 256.
	AnswerBytes int
	// Seed starts the random service times. Default random.
	Seed uint64
}

func (s TargetSettings) withDefaults() TargetSettings {
	setDefault(&s.Slots, 6)
	setDefault(&s.ServiceTime, 8*time.Millisecond)
	setDefault(&s.Spread, 0.5)
	setDefault(&s.ColdSlots, 1)
	setDefault(&s.ColdPeriod, 5*time.Second)
	setDefault(&s.ProbeTime, time.Millisecond)
	setDefault(&s.AnswerBytes, 256)
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

// coldCollapse is how many times slower a cold target is when it gets more than
// it can bear.
const coldCollapse = 20

// Started is one call that a target started, in its ledger.
type Started struct {
	Call     string
	At       time.Time
	Took     time.Duration
	Finished bool
	Target   vm.ID
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
	calls    []*Started
	totals   Totals
	rng      *rand.Rand
	server   *http.Server
	conns    map[net.Conn]bool
	latest   time.Time
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
	t.server = &http.Server{Handler: t, ConnState: t.noteConn}
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
	}
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
func (t *Target) SetSlowness(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowness = max(factor, 0)
}

// SetLying makes the target report that it is idle.
func (t *Target) SetLying(on bool) {
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
func (t *Target) SetSilent(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = on
}

// Ledger returns the calls the target started.
func (t *Target) Ledger() []Started {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Started, 0, len(t.calls))
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
func (t *Target) LatestStart() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest
}

// ServeHTTP answers calls and probes.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == wire.DefaultProtocol.LoadPath {
		t.serveProbe(w)
		return
	}
	admitted, silent := t.admit()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !admitted {
		t.refuse(w)
		return
	}
	defer t.leave()
	t.serveCall(w, r)
}

func (t *Target) serveProbe(w http.ResponseWriter) {
	time.Sleep(t.settings.ProbeTime)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.Probes++
	t.totals.ProbeTime += t.settings.ProbeTime
	t.report(w.Header())
	w.WriteHeader(http.StatusOK)
}

// admit opens a call unless the target is full or takes none.
func (t *Target) admit() (admitted, silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.silent {
		return false, true
	}
	t.warm()
	if t.state == target.Draining || t.state == target.Leaving || t.open >= t.settings.Slots+t.settings.Queue {
		t.totals.Refused++
		return false, false
	}
	t.open++
	return true, false
}

// warm ends a cold start whose time is over. The lock must be held.
func (t *Target) warm() {
	if t.state == target.Cold && !time.Now().Before(t.warmAt) {
		t.state = target.Live
	}
}

func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
}

func (t *Target) refuse(w http.ResponseWriter) {
	t.mu.Lock()
	t.report(w.Header())
	t.mu.Unlock()
	w.Header().Set(wire.DefaultProtocol.RefusalHeader, wire.DefaultProtocol.RefusalValue)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// report states the load. The lock must be held.
func (t *Target) report(h http.Header) {
	t.warm()
	open, state := t.open, t.state
	if t.lying {
		open, state = 0, target.Live
	}
	p := wire.DefaultProtocol
	h.Set(p.InstanceHeader, t.instance)
	h.Set(p.StateHeader, state.String())
	h.Set(p.InFlightHeader, strconv.Itoa(open))
}

func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	call, d, failing := t.start(r.Header.Get(HeaderCall))
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !work(r.Context(), d) {
		panic(http.ErrAbortHandler)
	}
	t.finish(call, w.Header())
	w.Header().Set("Content-Length", strconv.Itoa(t.settings.AnswerBytes))
	answer := fmt.Appendf(nil, "%s %d ", call.Call, len(body))
	w.Write(pad(answer, t.settings.AnswerBytes))
}

// start enters a call into the ledger and draws how long it takes.
func (t *Target) start(id string) (call *Started, d time.Duration, failing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	call = &Started{Call: id, At: now, Target: t.settings.VM.ID}
	t.calls = append(t.calls, call)
	t.totals.Started++
	t.latest = now
	sigma := t.settings.Spread
	d = time.Duration(float64(t.settings.ServiceTime) * math.Exp(sigma*t.rng.NormFloat64()-sigma*sigma/2) * t.slowness)
	t.warm()
	if t.state == target.Cold && t.open > t.settings.ColdSlots {
		t.totals.ColdOverruns++
		d *= coldCollapse
	}
	return call, d, t.failing
}

func (t *Target) finish(call *Started, h http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	call.Finished = true
	call.Took = time.Since(call.At)
	t.totals.Finished++
	t.totals.WorkTime += call.Took
	t.report(h)
}

// work takes its time unless the call is cancelled.
func work(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func pad(b []byte, n int) []byte {
	for len(b) < n {
		b = append(b, '.')
	}
	return b[:n]
}
