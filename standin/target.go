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

// HeaderCallID is the request header with the call's ID, by which the calls that a
// target started are compared with the caller's records.
const HeaderCallID = "Call-Id"

// TargetSettings configure a target; a zero field selects its default.
type TargetSettings struct {
	VM vm.VM
	// Slots is the number of calls served concurrently. Default 6.
	Slots int
	// QueueLength is the number of calls that may wait for a slot; further calls are
	// refused. Default 0.
	QueueLength int
	// ServiceTime is the mean service time of a call. Default 8 ms.
	ServiceTime time.Duration
	// ServiceTimeSigma is the sigma of the lognormal service time. Default 0.5.
	ServiceTimeSigma float64
	// ColdSlots is the number of concurrent calls that a cold target serves without
	// overload. Default 1.
	ColdSlots int
	// ColdPeriod is the duration of a cold start. Default 5 s.
	ColdPeriod time.Duration
	// ProbeTime is the service time of a probe. Default 1 ms.
	ProbeTime time.Duration
	// ResponseBytes is the length of a response body. Default 256.
	ResponseBytes int
	// Seed seeds the random service times. Default random.
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

// StartedCall is a target's record of a call that it started. Duration is zero until
// the call is finished.
type StartedCall struct {
	CallID    string
	StartedAt time.Time
	Duration  time.Duration
	Finished  bool
	TargetID  vm.ID
}

// Totals holds a target's counts.
type Totals struct {
	Started, Finished, Refused, Probes, ColdOverruns int
	// ProbeTime is the target time spent on probes, WorkTime that on calls.
	ProbeTime, WorkTime time.Duration
}

// Target is a stand-in for a target, with faults that can be switched on.
type Target struct {
	settings TargetSettings

	mu                sync.Mutex
	instance          string
	state             target.State
	warmAt            time.Time
	inFlight          int
	slots             chan struct{}
	serviceTimeFactor float64
	reportsIdle       bool
	failing           bool
	unresponsive      bool
	startedCalls      []*StartedCall
	totals            Totals
	rng               *rand.Rand
	server            *http.Server
	conns             map[net.Conn]bool
	// stalledConns are connections that stay open but get no more responses.
	stalledConns  map[net.Conn]bool
	latestStartAt time.Time
}

// NewTarget returns a live target that does not listen yet.
func NewTarget(s TargetSettings) *Target {
	s = s.withDefaults()
	return &Target{
		settings:          s,
		instance:          uuid.NewString()[:8],
		state:             target.Live,
		slots:             make(chan struct{}, s.Slots),
		serviceTimeFactor: 1,
		rng:               rand.New(rand.NewPCG(s.Seed, 1)),
		conns:             map[net.Conn]bool{},
		stalledConns:      map[net.Conn]bool{},
	}
}

// VM returns the target's entry in the platform's list of VMs.
func (t *Target) VM() vm.VM {
	return t.settings.VM
}

// Slots returns the number of calls that the target serves concurrently.
func (t *Target) Slots() int {
	return t.settings.Slots
}

// Listen starts serving on an address; port 0 selects a free port.
func (t *Target) Listen(address string) (err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settings.VM.Address = vm.Address(l.Addr().String())
	t.server = &http.Server{Handler: t, ConnState: t.trackConn, ConnContext: withConn}
	go t.server.Serve(l)
	return nil
}

func (t *Target) trackConn(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s {
	case http.StateNew:
		t.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
		delete(t.stalledConns, c)
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// StallConnections permanently stalls the connections that are open now, while new
// ones work. This happens when a middlebox between the ends loses their state.
func (t *Target) StallConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		t.stalledConns[c] = true
	}
}

// isStalled reports whether a request came over a stalled connection.
func (t *Target) isStalled(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(net.Conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	return ok && t.stalledConns[c]
}

// Close stops the target at once without draining, like a failing VM.
func (t *Target) Close() {
	t.mu.Lock()
	server := t.server
	t.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

// Restart simulates a restart of the process: it closes all connections and
// starts a new instance in cold start.
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

// SetState sets the target's state. target.Cold begins a new cold period, after which
// the target becomes live.
func (t *Target) SetState(s target.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = s
	if s == target.Cold {
		t.warmAt = time.Now().Add(t.settings.ColdPeriod)
	}
}

// SetServiceTimeFactor sets the factor by which service times are multiplied.
func (t *Target) SetServiceTimeFactor(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serviceTimeFactor = max(factor, 0)
}

// SetReportsIdle sets whether the target always reports itself as live and idle.
func (t *Target) SetReportsIdle(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportsIdle = on
}

// SetFailing sets whether the target responds to calls with status 500 without
// delay.
func (t *Target) SetFailing(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failing = on
}

// SetUnresponsive sets whether the target accepts calls and never responds.
func (t *Target) SetUnresponsive(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unresponsive = on
}

// StartedCalls returns the calls that the target started.
func (t *Target) StartedCalls() []StartedCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]StartedCall, 0, len(t.startedCalls))
	for _, c := range t.startedCalls {
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

// LatestStartTime returns the time at which the target last started a call.
func (t *Target) LatestStartTime() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latestStartAt
}
