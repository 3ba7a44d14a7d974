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

// harness is a Handler with targets but without a node.
type harness struct {
	handler *Handler
	server  *httptest.Server
	pools   map[vm.ID]*wire.Pool
	table   *target.Table
	profile profile.Profile
	checks  *invariant.Checker
}

// Route must not be called: newHarness sets a routeFunc as the Directory.
func (h *harness) Route(string, string) (Route, bool) { panic("replaced") }

func (h *harness) Pool(ref target.Ref) *wire.Pool { return h.pools[ref.ID] }

func (h *harness) ConnVerified(ref target.Ref, report target.Report) {
	h.table.RecordReport(ref.ID, time.Now(), report)
}

func (h *harness) LastConnLost(ref target.Ref) { h.table.MarkUnverified(ref.ID, time.Now()) }

type routeFunc func() (Route, bool)

func (f routeFunc) Route(string, string) (Route, bool) { return f() }

func newHarness(t *testing.T, p profile.Profile, addresses ...string) *harness {
	t.Helper()
	svc := service.Service{Name: "s", Slots: 6, MaxConnections: 200, ColdSlots: 1}
	h := &harness{profile: p, pools: map[vm.ID]*wire.Pool{}, checks: &invariant.Checker{}}
	h.table = target.NewTable(svc, target.Settings{Checks: h.checks, Seed: 1})
	var vms []vm.VM
	for i, a := range addresses {
		v := vm.VM{ID: vm.ID(fmt.Sprint("t", i)), Address: vm.Address(a), Service: "s"}
		vms = append(vms, v)
		ref := target.Ref{ID: v.ID, Address: v.Address, Service: "s"}
		h.pools[v.ID] = wire.NewPool(ref, wire.Settings{}, 20, 0, &measuring.Budget{Settings: measuring.Settings{MessagesPerSecond: 1e6, BytesPerSecond: 1e9, TargetTimePerSecond: time.Hour}}, h)
	}
	h.table.SetList(time.Now(), vms, func(vm.ID, zone.Name) bool { return false })
	d := &dispatch.Service{
		Table: h.table, Gate: admission.NewPool(0).AddGate(64),
		RetryBudget: &retry.Budget{}, HedgeBudget: &retry.Budget{}, Latencies: &retry.LatencyWindow{},
	}
	for range 100 {
		d.RetryBudget.Earn()
	}
	counts := metrics.NewCalls(metrics.NewDiscardRegistry().Scope)
	h.handler = &Handler{
		Directory:  routeFunc(func() (Route, bool) { return Route{Service: &svc, Profile: &h.profile, Dispatch: d}, true }),
		Pools:      h,
		Dispatcher: &dispatch.Dispatcher{ExtraAttemptCounter: counts, Checks: h.checks},
		Metrics:    counts,
	}
	h.server = httptest.NewServer(h.handler)
	t.Cleanup(func() {
		h.server.Close()
		for _, p := range h.pools {
			p.Close()
		}
		if got := h.checks.TotalViolations(); got != 0 {
			t.Errorf("invariant violations: got %d, want 0", got)
		}
	})
	return h
}

func idempotent() profile.Profile {
	return profile.Profile{Name: "p", Idempotent: true, CallTimeout: 5 * time.Second, AttemptTimeout: 5 * time.Second, QueueTimeout: time.Second, MaxRetries: 2}
}

func nonIdempotent() profile.Profile {
	return profile.Profile{Name: "p", CallTimeout: 5 * time.Second, AttemptTimeout: 5 * time.Second, QueueTimeout: time.Second}
}

// rawTarget is a target on a plain TCP listener. It responds to probes and passes
// every other request to serve, which writes arbitrary bytes and returns whether to
// keep the connection open.
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
			go raw.serveConn(c)
		}
	}()
	return raw
}

const loadHeaders = "Target-Instance: a\r\nTarget-State: live\r\nTarget-In-Flight: 1\r\n"

func (raw *rawTarget) serveConn(c net.Conn) {
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

func (h *harness) do(t *testing.T, method, body string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, h.server.URL+"/s/x", strings.NewReader(body))
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

func checkOutcome(t *testing.T, resp *http.Response, want outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	if got := resp.Header.Get(HeaderOutcome); got != string(want) {
		t.Errorf("outcome: got %q, want %q", got, want)
	}
	if got := resp.Header.Get(HeaderReason); got != string(reason) {
		t.Errorf("reason: got %q, want %q", got, reason)
	}
}

// TestTransportDoesNotResendRequest closes a reused connection during a request that
// net/http would resend by itself. The request must reach the target only once.
func TestTransportDoesNotResendRequest(t *testing.T) {
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
			h := newHarness(t, nonIdempotent(), raw.address())
			if _, _, err := h.do(t, tt.method, ""); err != nil {
				t.Fatal(err)
			}
			resp, _, err := h.do(t, tt.method, "", tt.headers...)
			if err != nil {
				t.Fatal(err)
			}
			checkOutcome(t, resp, outcome.Unknown, outcome.AnswerLost)
			if got, want := raw.requests.Load(), int32(2); got != want {
				t.Errorf("requests at the target: got %d, want %d", got, want)
			}
		})
	}
}

// TestClosedIdleConnectionIsReplaced sends calls while the target closes each
// connection after one response. If a call gets a connection that was closed while
// idle, nothing was written, so the call must be sent once over a new connection.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	raw := newRawTarget(t, func(w io.Writer, r *http.Request, n int) bool {
		io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+loadHeaders+"\r\nok")
		return false
	})
	h := newHarness(t, nonIdempotent(), raw.address())
	for i := 1; i <= 20; i++ {
		resp, body, err := h.do(t, http.MethodPost, "x")
		if err != nil {
			t.Fatal(err)
		}
		// If the target closes the connection while the request is being sent,
		// the outcome is unknown. In no case is the request sent again.
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

// TestTruncatedResponseAbortsCallerConnection truncates responses after their
// headers. The caller must see an error, never a short response that looks
// complete.
func TestTruncatedResponseAbortsCallerConnection(t *testing.T) {
	tests := []struct{ name, response string }{
		{"content length", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort"},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"},
		{"chunked without terminator", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			raw := newRawTarget(t, func(w io.Writer, r *http.Request, n int) bool {
				io.WriteString(w, tt.response)
				return false
			})
			h := newHarness(t, nonIdempotent(), raw.address())
			_, body, err := h.do(t, http.MethodPost, "x")
			if err == nil {
				t.Errorf("error: got none with body %q, want one", body)
			}
		})
	}
}

// A response that breaks off after its headers must not be reported as done: the log would
// send the engineer on call elsewhere.
func TestTruncatedResponseIsReportedAsLost(t *testing.T) {
	for _, tt := range []struct {
		name, response string
		want           outcome.Failure
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", outcome.Failure{Outcome: outcome.Done}},
		{"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort", outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.AnswerLost}},
		{"end not known", "HTTP/1.1 200 OK\r\n\r\nshort", outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.AnswerUnframed}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			raw := newRawTarget(t, func(w io.Writer, _ *http.Request, _ int) bool {
				io.WriteString(w, tt.response)
				return false
			})
			h := newHarness(t, nonIdempotent(), raw.address())
			ended := make(chan CallResult, 1)
			h.handler.OnCallEnd = func(e CallResult) { ended <- e }
			// The caller's error is checked by TestTruncatedResponseAbortsCallerConnection.
			_, _, _ = h.do(t, http.MethodPost, "x")
			if e := <-ended; e.Outcome != tt.want.Outcome || e.Reason != tt.want.Reason {
				t.Errorf("call end: got %v %v, want %v %v", e.Outcome, e.Reason, tt.want.Outcome, tt.want.Reason)
			}
		})
	}
}

// TestOutcomeOfTargetResponse checks the outcome and status that callers receive for
// responses of targets.
func TestOutcomeOfTargetResponse(t *testing.T) {
	tests := []struct {
		name, response string
		status         int
		want           outcome.Outcome
		reason         outcome.Reason
	}{
		{"503 without refusal header", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", 503, outcome.Done, ""},
		{"503 with refusal header", "HTTP/1.1 503 Busy\r\nTarget-Refused: before-start\r\nContent-Length: 0\r\n\r\n", 503, outcome.NotRun, outcome.TargetsRefused},
		{"503 with another refusal value", "HTTP/1.1 503 Busy\r\nTarget-Refused: later\r\nContent-Length: 0\r\n\r\n", 503, outcome.Done, ""},
		{"no framing", "HTTP/1.0 200 OK\r\n\r\nsome", 502, outcome.Unknown, outcome.AnswerUnframed},
		{"no response", "", 502, outcome.Unknown, outcome.AnswerLost},
		{"not HTTP", "hello\r\n\r\n", 502, outcome.Unknown, outcome.AnswerLost},
		{"404 is a response", "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", 404, outcome.Done, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			raw := newRawTarget(t, func(w io.Writer, r *http.Request, n int) bool {
				io.WriteString(w, tt.response)
				return false
			})
			p := nonIdempotent()
			p.QueueTimeout = 20 * time.Millisecond
			h := newHarness(t, p, raw.address())
			resp, _, err := h.do(t, http.MethodPost, "x")
			if err != nil {
				t.Fatal(err)
			}
			checkOutcome(t, resp, tt.want, tt.reason)
			if got, want := resp.StatusCode, tt.status; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
		})
	}
}

// TestRetryOnlyIfIdempotent closes the connection before the first response. Only an
// idempotent call may be retried.
func TestRetryOnlyIfIdempotent(t *testing.T) {
	tests := []struct {
		name     string
		profile  profile.Profile
		want     outcome.Outcome
		reason   outcome.Reason
		requests int32
	}{
		{"idempotent", idempotent(), outcome.Done, "", 2},
		{"not idempotent", nonIdempotent(), outcome.Unknown, outcome.AnswerLost, 1},
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
			h := newHarness(t, tt.profile, raw.address(), raw.address())
			resp, _, err := h.do(t, http.MethodPost, "x")
			if err != nil {
				t.Fatal(err)
			}
			checkOutcome(t, resp, tt.want, tt.reason)
			if got := raw.requests.Load(); got != tt.requests {
				t.Errorf("requests at the targets: got %d, want %d", got, tt.requests)
			}
		})
	}
}

// TestNonIdempotentCallAvoidsUnresponsiveConnection makes every connection
// unresponsive after its first response, while new connections work. A call that
// must not run twice must be sent over a new connection and succeed.
func TestNonIdempotentCallAvoidsUnresponsiveConnection(t *testing.T) {
	var used sync.Map
	raw := newRawTarget(t, func(w io.Writer, r *http.Request, n int) bool {
		if _, isUsed := used.Load(w); isUsed {
			select {}
		}
		used.Store(w, true)
		io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	h := newHarness(t, nonIdempotent(), raw.address())
	for range 3 {
		resp, _, err := h.do(t, http.MethodPost, "x")
		if err != nil {
			t.Fatal(err)
		}
		checkOutcome(t, resp, outcome.Done, "")
		// Longer than the default wire.Settings.MaxReadAge (100 ms).
		time.Sleep(150 * time.Millisecond)
	}
}

// TestCallerCancellationCancelsAttempt cancels a call while the target works on it.
// The attempt at the target must be cancelled.
func TestCallerCancellationCancelsAttempt(t *testing.T) {
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
	h := newHarness(t, idempotent(), strings.TrimPrefix(backend.URL, "http://"))
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.server.URL, nil)
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

// TestForwardedHeaders checks which headers are forwarded to the target and which
// headers of its response are forwarded to the caller.
func TestForwardedHeaders(t *testing.T) {
	var got http.Header
	raw := newRawTarget(t, func(w io.Writer, r *http.Request, n int) bool {
		got = r.Header.Clone()
		io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: X-Own\r\nX-Own: 1\r\nKeep-Alive: 5\r\n"+loadHeaders+"\r\n")
		return true
	})
	h := newHarness(t, idempotent(), raw.address())
	resp, _, err := h.do(t, http.MethodGet, "", HeaderDeadline, "800", HeaderHops, "3", HeaderMaxExtraAttempts, "1",
		"Connection", "X-Hop", "X-Hop", "1", "Te", "trailers")
	if err != nil {
		t.Fatal(err)
	}
	checkOutcome(t, resp, outcome.Done, "")
	ms, err := strconv.Atoi(got.Get(HeaderDeadline))
	if err != nil || ms > 799 || ms < 1 {
		t.Errorf("forwarded deadline in ms: got %q, want 1 to 799, less than the received 800", got.Get(HeaderDeadline))
	}
	for name, want := range map[string]string{HeaderHops: "4", HeaderMaxExtraAttempts: "0", "X-Hop": "", "Te": "", "X-Forwarded-For": "127.0.0.1"} {
		if got := got.Get(name); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
	for _, name := range []string{"X-Own", "Keep-Alive", "Target-Instance", "Target-State", "Target-In-Flight"} {
		if got := resp.Header.Get(name); got != "" {
			t.Errorf("%s forwarded to the caller: got %q, want none", name, got)
		}
	}
}

// TestInvalidRequestIsNotSent checks the status and reason of requests that are
// rejected before anything is sent to a target.
func TestInvalidRequestIsNotSent(t *testing.T) {
	tests := []struct {
		name    string
		headers []string
		status  int
		reason  outcome.Reason
	}{
		{"too many hops", []string{HeaderHops, "7"}, http.StatusLoopDetected, outcome.TooDeep},
		{"bad deadline", []string{HeaderDeadline, "soon"}, http.StatusBadRequest, outcome.BadDeadline},
		{"no time remaining", []string{HeaderDeadline, "0"}, http.StatusGatewayTimeout, outcome.DeadlinePassed},
		{"upgrade", []string{"Connection", "Upgrade", "Upgrade", "websocket"}, http.StatusNotImplemented, outcome.UpgradeRefused},
	}
	raw := newRawTarget(t, func(io.Writer, *http.Request, int) bool { return false })
	h := newHarness(t, idempotent(), raw.address())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, _, err := h.do(t, http.MethodGet, "", tt.headers...)
			if err != nil {
				t.Fatal(err)
			}
			checkOutcome(t, resp, outcome.NotRun, tt.reason)
			if got, want := resp.StatusCode, tt.status; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
		})
	}
	if got := raw.requests.Load(); got != 0 {
		t.Errorf("requests at the target: got %d, want 0", got)
	}
}

// TestStreamingWithTrailersAndEarlyHints sends and receives bodies larger than any
// buffer, with trailers, early hints and a response that starts before the request
// body ends.
func TestStreamingWithTrailersAndEarlyHints(t *testing.T) {
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
	h := newHarness(t, nonIdempotent(), strings.TrimPrefix(backend.URL, "http://"))
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
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL, body)
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
			t.Errorf("chunked %v: got %d bytes, %v; want the %d bytes sent", chunked, len(got), err, len(sent))
		}
		if got, want := resp.Trailer.Get("X-Sum"), strconv.Itoa(size); got != want {
			t.Errorf("trailer: got %q, want %q", got, want)
		}
		if hints != 1 {
			t.Errorf("early hints: got %d, want 1", hints)
		}
	}
}
