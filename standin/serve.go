package standin

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/wire"
)

// coldCollapse is how many times slower a cold target is when it gets more than
// it can bear.
const coldCollapse = 20

// ServeHTTP answers calls and probes.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t.isHushed(r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
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
	if t.state == target.Draining || t.state == target.Leaving || t.open >= t.settings.Slots+t.settings.QueueLength {
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
	call, d, failing := t.start(r.Header.Get(HeaderCallID))
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !pause.For(r.Context(), d) {
		panic(http.ErrAbortHandler)
	}
	t.finish(call, w.Header())
	w.Header().Set("Content-Length", strconv.Itoa(t.settings.ResponseBytes))
	answer := fmt.Appendf(nil, "%s %d ", call.CallID, len(body))
	w.Write(pad(answer, t.settings.ResponseBytes))
}

// start enters a call into the ledger and draws how long it takes.
func (t *Target) start(id string) (call *StartedCall, d time.Duration, failing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	call = &StartedCall{CallID: id, StartedAt: now, TargetID: t.settings.VM.ID}
	t.calls = append(t.calls, call)
	t.totals.Started++
	t.latest = now
	sigma := t.settings.ServiceTimeSigma
	d = time.Duration(float64(t.settings.ServiceTime) * math.Exp(sigma*t.rng.NormFloat64()-sigma*sigma/2) * t.slowness)
	t.warm()
	if t.state == target.Cold && t.open > t.settings.ColdSlots {
		t.totals.ColdOverruns++
		d *= coldCollapse
	}
	return call, d, t.failing
}

func (t *Target) finish(call *StartedCall, h http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	call.Finished = true
	call.Duration = time.Since(call.StartedAt)
	t.totals.Finished++
	t.totals.WorkTime += call.Duration
	t.report(h)
}

func pad(b []byte, n int) []byte {
	for len(b) < n {
		b = append(b, '.')
	}
	return b[:n]
}
