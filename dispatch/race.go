package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// attemptWithHedge makes an attempt and, where the profile allows it, a hedge beside it.
// The first response wins and the other attempt is cancelled at its target.
func (r *run) attemptWithHedge(ctx context.Context, reservation target.Place) (*Won, *Failure) {
	first, cancel := context.WithCancel(ctx)
	h := r.scheduleHedge(ctx, cancel, reservation)
	response, failure := r.attempt(first, reservation, r.allowance.HandDown())
	resp, fail := r.resolveHedge(h, reservation, response, failure)
	if h.hasSpentToken() && !r.allowance.Take() {
		r.dispatcher.countExtraAttempt(outcome.ForgoneNoAllowance)
	}
	if resp == nil {
		cancel()
		return nil, fail
	}
	// The contexts live on with the response's body.
	resp.cancel = func() {
		cancel()
		h.cancelContext()
	}
	return resp, nil
}

// attempt sends to a picked target; a failure is booked with the table at once.
func (r *run) attempt(ctx context.Context, reservation target.Place, allowance int) (Answer, *Failure) {
	headerDeadline := earliest(r.call.Deadline, time.Now().Add(r.call.Profile.AttemptTimeout))
	if reservation.Cold {
		headerDeadline = earliest(headerDeadline, reservation.Until)
	}
	response, failure := r.sender.Send(ctx, Attempt{
		Target:    reservation.Ref,
		HeaderBy:  headerDeadline,
		Deadline:  r.call.Deadline.Add(-layerOverhead),
		Allowance: allowance,
		Proven:    !r.call.Profile.Idempotent,
		Permit:    func() bool { return r.maySend(reservation) },
	})
	if failure != nil {
		r.service.Table.Finish(reservation, time.Now(), failure.Result, failure.Report)
	}
	return response, failure
}

// maySend is the last word before the first byte: the target still takes work,
// the call is still wanted, and the claim on its key still holds.
func (r *run) maySend(reservation target.Place) bool {
	now := time.Now()
	if !now.Before(r.call.Deadline) || !r.service.Table.StillOpen(reservation, now) {
		return false
	}
	if r.call.Claim == nil {
		return true
	}
	r.claimLapsed = !r.call.Claim.Use()
	return !r.claimLapsed
}

// resolveHedge books the end of a race.
func (r *run) resolveHedge(h *hedge, reservation target.Place, response Answer, failure *Failure) (*Won, *Failure) {
	now := time.Now()
	if failure == nil {
		if h.stop() {
			r.service.Latencies.Observe(now, now.Sub(reservation.Started))
			return r.callResponse(response, reservation), nil
		}
		// The hedge answered first.
		response.Discard()
		r.service.Table.Finish(reservation, now, target.Cancelled, response.Report())
	}
	if hedged, ok := h.result(); ok {
		r.mayHaveRun = true
		r.service.Latencies.Observe(now, now.Sub(reservation.Started))
		r.dispatcher.countExtraAttempt(outcome.RetryHedgeWon)
		return r.callResponse(hedged.response, hedged.reservation), nil
	}
	r.recordFailure(reservation, failure)
	if f := h.failure(); f != nil {
		r.recordFailure(h.reservation, f)
	}
	return nil, failure
}

// recordFailure books a failed attempt with the call.
func (r *run) recordFailure(reservation target.Place, f *Failure) {
	r.notifyDecision(Failed, reservation, f)
	r.recordSend(f)
	r.allowance.Charge(f.Spent)
	r.excluded = append(r.excluded, reservation.Ref.ID)
	certain := !f.Written || f.Result == target.Refused
	if certain && r.call.Claim != nil {
		r.call.Claim.Unused()
	}
}

func (r *run) callResponse(response Answer, reservation target.Place) *Won {
	r.allowance.Charge(response.Spent())
	waited := reservation.Started.Sub(r.arrivedAt)
	return &Won{Answer: response, Waited: waited, Spent: r.allowance.Spent(), run: r, reservation: reservation}
}

// hedge is the second attempt of a race, which may never start. A nil *hedge is
// a race without one.
type hedge struct {
	run              *run
	firstReservation target.Place
	cancelFirst      context.CancelFunc
	timer            *time.Timer
	done             chan struct{}

	mu      sync.Mutex
	started bool
	stopped bool
	// tokenSpent says that a target may have been sent the hedge.
	tokenSpent     bool
	cancelHedge    context.CancelFunc
	reservation    target.Place
	response       Answer
	attemptFailure *Failure
}

// scheduleHedge prepares a hedge after the delay that the observed latencies give,
// or returns nil where status is allowed.
func (r *run) scheduleHedge(ctx context.Context, cancel context.CancelFunc, first target.Place) *hedge {
	if !r.call.Profile.Hedge || !r.call.Profile.Idempotent || !r.call.Replayable || r.allowance.Left() < 1 {
		return nil
	}
	delay, ok := r.hedgeDelay(first)
	if !ok {
		return nil
	}
	h := &hedge{run: r, firstReservation: first, cancelFirst: cancel, done: make(chan struct{})}
	h.timer = time.AfterFunc(delay, func() { h.launch(ctx) })
	return h
}

// hedgeDelayFactor is how many forecasts an attempt may take before it is hedged.
const hedgeDelayFactor = 1.6

// hedgeDelay is how long the first attempt is left alone: by what was forecast
// of its target, or by the usual latencies where nothing was.
func (r *run) hedgeDelay(first target.Place) (d time.Duration, ok bool) {
	if first.Finish > 0 {
		return time.Duration(hedgeDelayFactor * float64(first.Finish)), true
	}
	return r.service.Latencies.Percentile(time.Now(), r.call.Profile.HedgePercentile)
}

// launch starts the hedge if a target seems free and the budgets allow it.
func (h *hedge) launch(ctx context.Context) {
	ctx, ok := h.begin(ctx)
	if !ok {
		return
	}
	defer close(h.done)
	reservation, response, failure := h.send(ctx)
	if response == nil && failure == nil {
		return
	}
	h.mu.Lock()
	stopped := h.stopped
	h.reservation, h.response, h.attemptFailure = reservation, response, failure
	h.mu.Unlock()
	if failure != nil {
		return
	}
	if stopped {
		response.Discard()
		h.run.service.Table.Finish(reservation, time.Now(), target.Cancelled, response.Report())
		return
	}
	// The first attempt returns now, cancelled, and finds this response.
	h.cancelFirst()
}

func (h *hedge) begin(ctx context.Context) (context.Context, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return nil, false
	}
	h.started = true
	ctx, h.cancelHedge = context.WithDeadline(ctx, h.run.call.Deadline)
	return ctx, true
}

// send makes the hedge's attempt; targets that refuse are passed over. Without
// a free target or a token there is neither response nor failure.
func (h *hedge) send(ctx context.Context) (reservation target.Place, response Answer, failure *Failure) {
	avoid := append([]vm.ID{h.firstReservation.Ref.ID}, h.run.excluded...)
	for tries := range maxAttemptsPerRound {
		opts := target.Wish{Avoid: avoid, FreeOnly: true, Objective: h.run.call.Profile.Objective}
		h.queryLoad(ctx, opts)
		reservation, status := h.run.service.Table.PickBy(time.Now(), opts)
		if status != target.Found {
			h.run.dispatcher.countExtraAttempt(outcome.ForgoneBusy)
			return target.Place{}, nil, failure
		}
		if tries == 0 && !h.spendToken(reservation) {
			return target.Place{}, nil, nil
		}
		h.run.notifyDecision(Hedged, reservation, nil)
		response, failure = h.run.attempt(ctx, reservation, 0)
		if failure == nil || failure.Result != target.Refused || !h.run.dispatcher.spendRefusalRetry(h.run.service) {
			return reservation, response, failure
		}
		avoid = append(avoid, reservation.Ref.ID)
	}
	return reservation, nil, failure
}

// queryLoad asks for what the table has not seen of other targets.
func (h *hedge) queryLoad(ctx context.Context, w target.Wish) {
	if h.run.service.Scout == nil {
		return
	}
	if refs := h.run.service.Table.Unseen(time.Now(), w); len(refs) > 0 {
		h.run.service.Scout.Ask(ctx, refs)
	}
}

// spendToken spends a token for the hedge, or gives its reservation back.
func (h *hedge) spendToken(reservation target.Place) bool {
	r := h.run
	if r.service.spendHedge() {
		h.mu.Lock()
		h.tokenSpent = true
		h.mu.Unlock()
		r.dispatcher.countExtraAttempt(outcome.RetryHedge)
		return true
	}
	r.service.Table.Finish(reservation, time.Now(), target.Cancelled, target.Report{})
	r.dispatcher.countExtraAttempt(outcome.ForgoneNoTokens)
	return false
}

// stop ends the hedge for an response of the first attempt; it reports false if
// the hedge has answered already.
func (h *hedge) stop() bool {
	if h == nil {
		return true
	}
	h.timer.Stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.response != nil {
		return false
	}
	h.stopped = true
	if h.cancelHedge != nil {
		h.cancelHedge()
	}
	return true
}

// hedgeResponse is a hedge's response and where it came from.
type hedgeResponse struct {
	response    Answer
	reservation target.Place
}

// result waits for a started hedge and returns its response, if it has one.
func (h *hedge) result() (w hedgeResponse, ok bool) {
	if h == nil {
		return hedgeResponse{}, false
	}
	h.timer.Stop()
	h.mu.Lock()
	if !h.started {
		h.stopped = true
		h.mu.Unlock()
		return hedgeResponse{}, false
	}
	h.mu.Unlock()
	<-h.done
	h.mu.Lock()
	defer h.mu.Unlock()
	return hedgeResponse{response: h.response, reservation: h.reservation}, h.response != nil
}

// hasSpentToken reports whether a target may have been sent the hedge.
func (h *hedge) hasSpentToken() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tokenSpent
}

// cancelContext ends the context of a hedge whose response has been read.
func (h *hedge) cancelContext() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cancelHedge != nil {
		h.cancelHedge()
	}
}

// failure is the failure of a hedge that has ended.
func (h *hedge) failure() *Failure {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.attemptFailure
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
