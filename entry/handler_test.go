package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/measuring"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/wire"
	"github.com/apricotmount/apricotmount/zone"
)

// rig is a handler in front of targets, without a node.
type rig struct {
	handler *Handler
	server  *httptest.Server
	pools   map[vm.ID]*wire.Pool
	table   *target.Table
	profile profile.Profile
	checks  *invariant.Checker
}

func (r *rig) Route(string, string) (Route, bool) { panic("replaced") }

func (r *rig) Pool(ref target.Ref) *wire.Pool { return r.pools[ref.ID] }

func (r *rig) ConnVerified(ref target.Ref, report target.Report) {
	r.table.RecordReport(ref.ID, time.Now(), report)
}

func (r *rig) LastConnLost(ref target.Ref) { r.table.MarkUnverified(ref.ID, time.Now()) }

type routeFunc func() (Route, bool)

func (f routeFunc) Route(string, string) (Route, bool) { return f() }

func newRig(t *testing.T, p profile.Profile, addresses ...string) *rig {
	t.Helper()
	svc := service.Service{Name: "s", Slots: 6, MaxConnections: 200, ColdSlots: 1}
	r := &rig{profile: p, pools: map[vm.ID]*wire.Pool{}, checks: &invariant.Checker{}}
	r.table = target.NewTable(svc, target.Settings{Checks: r.checks, Seed: 1})
	var list []vm.VM
	for i, a := range addresses {
		v := vm.VM{ID: vm.ID(fmt.Sprint("t", i)), Address: vm.Address(a), Service: "s"}
		list = append(list, v)
		ref := target.Ref{ID: v.ID, Address: v.Address, Service: "s"}
		r.pools[v.ID] = wire.NewPool(ref, wire.Settings{}, 20, 0, &measuring.Budget{Settings: measuring.Settings{MessagesPerSecond: 1e6, BytesPerSecond: 1e9, TargetTimePerSecond: time.Hour}}, r)
	}
	r.table.SetList(time.Now(), list, func(vm.ID, zone.Name) bool { return false })
	d := &dispatch.Service{
		Table: r.table, Gate: admission.NewPool(0).AddGate(64),
		RetryBudget: &retry.Budget{}, HedgeBudget: &retry.Budget{}, Latencies: &retry.LatencyWindow{},
	}
	for range 100 {
		d.RetryBudget.Earn()
	}
	counts := metrics.NewCalls(metrics.NewDiscardRegistry().Scope)
	r.handler = &Handler{
		Directory:  routeFunc(func() (Route, bool) { return Route{Service: &svc, Profile: &r.profile, Dispatch: d}, true }),
		Pools:      r,
		Dispatcher: &dispatch.Dispatcher{ExtraAttemptCounter: counts, Checks: r.checks},
		Metrics:    counts,
	}
	r.server = httptest.NewServer(r.handler)
	t.Cleanup(func() {
		r.server.Close()
		for _, p := range r.pools {
			p.Close()
		}
		if got := r.checks.TotalViolations(); got != 0 {
			t.Errorf("invariants broken: got %d, want 0", got)
		}
	})
	return r
}

func idempotent() profile.Profile {
	return profile.Profile{Name: "p", Idempotent: true, CallTimeout: 5 * time.Second, AttemptTimeout: 5 * time.Second, QueueTimeout: time.Second, MaxRetries: 2}
}

func once() profile.Profile {
	return profile.Profile{Name: "p", CallTimeout: 5 * time.Second, AttemptTimeout: 5 * time.Second, QueueTimeout: time.Second}
}

// rawTarget is a target on bare TCP: it answers probes and hands every other
// request to serve, which writes what it likes and says whether to go on.
type rawTarget struct {
	listener net.Listener
	serve    func(w io.Writer, r *http.Request, n int) bool
	requests atomic.Int32
	conns    atomic.Int32
}

func newRawTarget(t *testing.T, serve func(w io.Writer, r *http.Request, n int) bool) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	raw := &rawTarget{listener: l, serve: serve}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			raw.conns.Add(1)
			go raw.conn(c)
		}
	}()
	return raw
}

const loadHeaders = "Target-Instance: a\r\nTarget-State: live\r\nTarget-In-Flight: 1\r\n"

func (raw *rawTarget) conn(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		if r.URL.Path == wire.DefaultProtocol.LoadPath {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+loadHeaders+"\r\n")
			continue
		}
		if !raw.serve(c, r, int(raw.requests.Add(1))) {
			return
		}
	}
}

func (raw *rawTarget) address() string { return raw.listener.Addr().String() }

func (r *rig) do(t *testing.T, method, body string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, r.server.URL+"/s/x", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

func wantOutcome(t *testing.T, resp *http.Response, want outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	if got := resp.Header.Get(HeaderOutcome); got != string(want) {
		t.Errorf("outcome: got %q, want %q", got, want)
	}
	if got := resp.Header.Get(HeaderReason); got != string(reason) {
		t.Errorf("reason: got %q, want %q", got, reason)
	}
}

// TestNoSilentReplay closes connections under requests that net/http would send
// again by itself, and counts what reached the target.
func TestNoSilentReplay(t *testing.T) {
	tests := []struct {
		name, method string
		headers      []string
	}{
		{"get", http.MethodGet, nil},
		{"head", http.MethodHead, nil},
		{"post with key", http.MethodPost, []string{"Idempotency-Key", "k"}},
		{"post with x-key", http.MethodPost, []string{"X-Idempotency-Key", "k"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			raw := newRawTarget(t, func(w io.Writer, r *http.Request, n int) bool {
				if n == 1 {
					io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+loadHeaders+"\r\n")
					return true
				}
				return false
			})
			r := newRig(t, once(), raw.address())
			if _, _, err := r.do(t, tt.method, ""); err != nil {
				t.Fatal(err)
			}
			resp, _, err := r.do(t, tt.method, "", tt.headers...)
			if err != nil {
				t.Fatal(err)
			}
			wantOutcome(t, resp, outcome.Unknown, outcome.AnswerLost)
			if got, want := raw.requests.Load(), int32(2); got != want {
				t.Errorf("requests at the target: got %d, want %d", got, want)
			}
		})
	}
}

// TestIdleConnectionDied uses a connection that the target closed while idle:
// nothing was written, so the call goes out once over a new one.
func TestIdleConnectionDied(t *testing.T) {
	raw := newRawTarget(t, func(w io.Writer, r *http.Request, n int) bool {
		io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+loadHeaders+"\r\nok")
		return false
	})
	r := newRig(t, once(), raw.address())
	for i := 1; i <= 20; i++ {
		resp, body, err := r.do(t, http.MethodPost, "x")
		if err != nil {
			t.Fatal(err)
		}
		// A close that crosses with the request on its way leaves the outcome
		// unknown; the request is not sent again either way.
		if got := resp.Header.Get(HeaderOutcome); got == string(outcome.NotRun) {
			t.Errorf("call %d: got %q %q, want done or unknown", i, got, resp.Header.Get(HeaderReason))
		}
		if resp.Header.Get(HeaderOutcome) == string(outcome.Done) && body != "ok" {
			t.Errorf("body: got %q, want %q", body, "ok")
		}
		if got, want := raw.requests.Load(), int32(i); got > want {
			t.Errorf("requests at the target: got %d, want at most %d", got, want)
		}
	}
}

// TestBrokenAnswer breaks answers off after their headers; the caller must see
// a broken answer, never a short one that looks whole.
func TestBrokenAnswer(t *testing.T) {
	tests := []struct{ name, answer string }{
		{"content length", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort"},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"},
		{"chunked without terminator", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			raw := newRawTarget(t, func(w io.Writer, r *http.Request, n int) bool {
				io.WriteString(w, tt.answer)
				return false
			})
			r := newRig(t, once(), raw.address())
			_, body, err := r.do(t, http.MethodPost, "x")
			if err == nil {
				t.Errorf("error: got none with body %q, want a broken answer", body)
			}
		})
	}
}

// TestOutcomes holds answers of targets against the outcomes told.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		name, answer string
		status       int
		want         outcome.Outcome
		reason       outcome.Reason
	}{
		{"bare 503 proves nothing", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", 503, outcome.Done, ""},
		{"marked refusal was not run", "HTTP/1.1 503 Busy\r\nTarget-Refused: before-start\r\nContent-Length: 0\r\n\r\n", 503, outcome.NotRun, outcome.TargetsRefused},
		{"another mark proves nothing", "HTTP/1.1 503 Busy\r\nTarget-Refused: later\r\nContent-Length: 0\r\n\r\n", 503, outcome.Done, ""},
		{"end of answer cannot be told", "HTTP/1.0 200 OK\r\n\r\nsome", 502, outcome.Unknown, outcome.AnswerUnframed},
		{"no answer", "", 502, outcome.Unknown, outcome.AnswerLost},
		{"rubbish", "hello\r\n\r\n", 502, outcome.Unknown, outcome.AnswerLost},
		{"not found is an answer", "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", 404, outcome.Done, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			raw := newRawTarget(t, func(w io.Writer, r *http.Request, n int) bool {
				io.WriteString(w, tt.answer)
				return false
			})
			p := once()
			p.QueueTimeout = 20 * time.Millisecond
			r := newRig(t, p, raw.address())
			resp, _, err := r.do(t, http.MethodPost, "x")
			if err != nil {
				t.Fatal(err)
			}
			wantOutcome(t, resp, tt.want, tt.reason)
			if got, want := resp.StatusCode, tt.status; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
		})
	}
}

// TestRetryOnlyIfIdempotent loses the first answer.
func TestRetryOnlyIfIdempotent(t *testing.T) {
	tests := []struct {
		name     string
		profile  profile.Profile
		want     outcome.Outcome
		reason   outcome.Reason
		requests int32
	}{
		{"idempotent", idempotent(), outcome.Done, "", 2},
		{"not idempotent", once(), outcome.Unknown, outcome.AnswerLost, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			raw := newRawTarget(t, func(w io.Writer, r *http.Request, n int) bool {
				if n == 1 {
					return false
				}
				io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return true
			})
			r := newRig(t, tt.profile, raw.address(), raw.address())
			resp, _, err := r.do(t, http.MethodPost, "x")
			if err != nil {
				t.Fatal(err)
			}
			wantOutcome(t, resp, tt.want, tt.reason)
			if got := raw.requests.Load(); got != tt.requests {
				t.Errorf("requests: got %d, want %d", got, tt.requests)
			}
		})
	}
}

// TestSilentConnection lets every open connection go silent while new ones
// work; a call that must not run twice is sent over a new one and done.
func TestSilentConnection(t *testing.T) {
	var silent sync.Map
	raw := newRawTarget(t, func(w io.Writer, r *http.Request, n int) bool {
		if _, gone := silent.Load(w); gone {
			select {}
		}
		silent.Store(w, true)
		io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	r := newRig(t, once(), raw.address())
	for range 3 {
		resp, _, err := r.do(t, http.MethodPost, "x")
		if err != nil {
			t.Fatal(err)
		}
		wantOutcome(t, resp, outcome.Done, "")
		// Longer than a connection stays proven.
		time.Sleep(150 * time.Millisecond)
	}
}

// TestCallerGone goes away while the target works; the attempt is cancelled.
func TestCallerGone(t *testing.T) {
	arrived, cancelled := make(chan bool, 1), make(chan bool, 1)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == wire.DefaultProtocol.LoadPath {
			return
		}
		arrived <- true
		<-r.Context().Done()
		cancelled <- true
	}))
	defer backend.Close()
	r := newRig(t, idempotent(), strings.TrimPrefix(backend.URL, "http://"))
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		<-arrived
		cancel()
	}()
	if _, err := http.DefaultClient.Do(req); err == nil {
		t.Error("error: got none, want the caller's own cancellation")
	}
	<-cancelled
}

// TestHandedDown looks at what a target is told.
func TestHandedDown(t *testing.T) {
	var got http.Header
	raw := newRawTarget(t, func(w io.Writer, r *http.Request, n int) bool {
		got = r.Header.Clone()
		io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: X-Own\r\nX-Own: 1\r\nKeep-Alive: 5\r\n"+loadHeaders+"\r\n")
		return true
	})
	r := newRig(t, idempotent(), raw.address())
	resp, _, err := r.do(t, http.MethodGet, "", HeaderDeadline, "800", HeaderHops, "3", HeaderMaxExtraAttempts, "1",
		"Connection", "X-Hop", "X-Hop", "1", "Te", "trailers")
	if err != nil {
		t.Fatal(err)
	}
	wantOutcome(t, resp, outcome.Done, "")
	ms, err := strconv.Atoi(got.Get(HeaderDeadline))
	if err != nil || ms > 799 || ms < 1 {
		t.Errorf("deadline handed down: got %q, want less than 800 ms by this layer's cost", got.Get(HeaderDeadline))
	}
	for name, want := range map[string]string{HeaderHops: "4", HeaderMaxExtraAttempts: "0", "X-Hop": "", "Te": "", "X-Forwarded-For": "127.0.0.1"} {
		if got := got.Get(name); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
	for _, name := range []string{"X-Own", "Keep-Alive", "Target-Instance", "Target-State", "Target-In-Flight"} {
		if got := resp.Header.Get(name); got != "" {
			t.Errorf("%s passed on: got %q, want none", name, got)
		}
	}
}

// TestRefusedRequests are refused before anything is sent.
func TestRefusedRequests(t *testing.T) {
	tests := []struct {
		name    string
		headers []string
		status  int
		reason  outcome.Reason
	}{
		{"too deep", []string{HeaderHops, "7"}, http.StatusLoopDetected, outcome.TooDeep},
		{"bad deadline", []string{HeaderDeadline, "soon"}, http.StatusBadRequest, outcome.BadDeadline},
		{"no time left", []string{HeaderDeadline, "0"}, http.StatusGatewayTimeout, outcome.DeadlinePassed},
		{"upgrade", []string{"Connection", "Upgrade", "Upgrade", "websocket"}, http.StatusNotImplemented, outcome.UpgradeRefused},
	}
	raw := newRawTarget(t, func(io.Writer, *http.Request, int) bool { return false })
	r := newRig(t, idempotent(), raw.address())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, _, err := r.do(t, http.MethodGet, "", tt.headers...)
			if err != nil {
				t.Fatal(err)
			}
			wantOutcome(t, resp, outcome.NotRun, tt.reason)
			if got, want := resp.StatusCode, tt.status; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
		})
	}
	if got := raw.requests.Load(); got != 0 {
		t.Errorf("requests at the target: got %d, want 0", got)
	}
}

// TestStreams sends and receives more than any buffer holds, with trailers,
// early hints and an early answer.
func TestStreams(t *testing.T) {
	const size = 4 << 20
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == wire.DefaultProtocol.LoadPath {
			return
		}
		if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
			panic(err)
		}
		w.Header().Set("Link", "</a>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		w.Header().Set("Trailer", "X-Sum")
		n, err := io.Copy(w, r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Sum", strconv.FormatInt(n, 10))
	}))
	defer backend.Close()
	r := newRig(t, once(), strings.TrimPrefix(backend.URL, "http://"))
	for _, chunked := range []bool{false, true} {
		hints := 0
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			Got1xxResponse: func(int, textproto.MIMEHeader) error { hints++; return nil },
		})
		sent := bytes.Repeat([]byte("0123456789abcdef"), size/16)
		var body io.Reader = bytes.NewReader(sent)
		if chunked {
			body = io.MultiReader(body)
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.server.URL, body)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || !bytes.Equal(got, sent) {
			t.Errorf("chunked %v: got %d bytes, %v; want %d the same as sent", chunked, len(got), err, len(sent))
		}
		if got, want := resp.Trailer.Get("X-Sum"), strconv.Itoa(size); got != want {
			t.Errorf("trailer: got %q, want %q", got, want)
		}
		if hints != 1 {
			t.Errorf("early hints: got %d, want 1", hints)
		}
	}
}
