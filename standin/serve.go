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

// coldOverloadFactor multiplies the service time of a cold target with more than
// ColdSlots calls in flight.
const coldOverloadFactor = 20

// ServeHTTP serves calls and probes.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t.isStalled(r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == wire.DefaultProtocol.LoadPath {
		t.serveProbe(w)
		return
	}
	admitted, unresponsive := t.admit()
	if unresponsive {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !admitted {
		t.refuse(w)
		return
	}
	defer t.release()
	t.serveCall(w, r)
}

func (t *Target) serveProbe(w http.ResponseWriter) {
	time.Sleep(t.settings.ProbeTime)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.Probes++
	t.totals.ProbeTime += t.settings.ProbeTime
	t.writeLoadReport(w.Header())
	w.WriteHeader(http.StatusOK)
}

// admit admits a call and counts it as in flight, unless the target is full, draining,
// leaving or unresponsive.
func (t *Target) admit() (admitted, unresponsive bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unresponsive {
		return false, true
	}
	t.endColdStart()
	if t.state == target.Draining || t.state == target.Leaving || t.inFlight >= t.settings.Slots+t.settings.QueueLength {
		t.totals.Refused++
		return false, false
	}
	t.inFlight++
	return true, false
}

// endColdStart makes the target live once its cold period is over. t.mu must be
// held.
func (t *Target) endColdStart() {
	if t.state == target.Cold && !time.Now().Before(t.warmAt) {
		t.state = target.Live
	}
}

func (t *Target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

func (t *Target) refuse(w http.ResponseWriter) {
	t.mu.Lock()
	t.writeLoadReport(w.Header())
	t.mu.Unlock()
	w.Header().Set(wire.DefaultProtocol.RefusalHeader, wire.DefaultProtocol.RefusalValue)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeLoadReport writes the load report into response headers. t.mu must be
// held.
func (t *Target) writeLoadReport(h http.Header) {
	t.endColdStart()
	inFlight, state := t.inFlight, t.state
	if t.reportsIdle {
		inFlight, state = 0, target.Live
	}
	p := wire.DefaultProtocol
	h.Set(p.InstanceHeader, t.instance)
	h.Set(p.StateHeader, state.String())
	h.Set(p.InFlightHeader, strconv.Itoa(inFlight))
}

func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	call, d, failing := t.startCall(r.Header.Get(HeaderCallID))
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !pause.For(r.Context(), d) {
		panic(http.ErrAbortHandler)
	}
	t.finishCall(call, w.Header())
	w.Header().Set("Content-Length", strconv.Itoa(t.settings.ResponseBytes))
	response := fmt.Appendf(nil, "%s %d ", call.CallID, len(body))
	w.Write(pad(response, t.settings.ResponseBytes))
}

// startCall records a call as started and draws its service time d.
func (t *Target) startCall(id string) (call *StartedCall, d time.Duration, failing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	call = &StartedCall{CallID: id, StartedAt: now, TargetID: t.settings.VM.ID}
	t.startedCalls = append(t.startedCalls, call)
	t.totals.Started++
	t.latestStartAt = now
	sigma := t.settings.ServiceTimeSigma
	d = time.Duration(float64(t.settings.ServiceTime) * math.Exp(sigma*t.rng.NormFloat64()-sigma*sigma/2) * t.serviceTimeFactor)
	t.endColdStart()
	if t.state == target.Cold && t.inFlight > t.settings.ColdSlots {
		t.totals.ColdOverruns++
		d *= coldOverloadFactor
	}
	return call, d, t.failing
}

func (t *Target) finishCall(call *StartedCall, h http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	call.Finished = true
	call.Duration = time.Since(call.StartedAt)
	t.totals.Finished++
	t.totals.WorkTime += call.Duration
	t.writeLoadReport(h)
}

// pad pads or truncates b to n bytes.
func pad(b []byte, n int) []byte {
	for len(b) < n {
		b = append(b, '.')
	}
	return b[:n]
}
