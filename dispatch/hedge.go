package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// attemptWithHedge makes an attempt and, if the profile allows it, a hedge in
// parallel. The first response is used; the other attempt is cancelled at its
// target.
func (r *run) attemptWithHedge(ctx context.Context, reservation target.Reservation) (*CallResponse, *AttemptFailure) {
	firstCtx, cancel := context.WithCancel(ctx)
	h := r.scheduleHedge(ctx, cancel, reservation)
	stopWatching := r.cancelOnPathLoss(func() {
		cancel()
		h.stop()
	})
	r.hasAttempted = true
	firstResponse, firstFailure := r.attempt(firstCtx, reservation, r.allowance.DownstreamLimit(), r.mayHaveRun)
	if firstFailure == nil {
		stopWatching()
	}
	resp, failure := r.resolveHedge(ctx, h, reservation, firstResponse, firstFailure)
	stopWatching()
	if h.hasSpentToken() && !r.allowance.Spend() {
		r.dispatcher.countExtraAttempt(outcome.ForgoneNoAllowance)
	}
	if resp == nil {
		cancel()
		return nil, failure
	}
	resp.ExtraAttempts = r.allowance.Spent()
	resp.hedge = h
	// The contexts must outlive the response's body.
	resp.cancel = func() {
		cancel()
		h.cancelContext()
	}
	return resp, nil
}

// resolveHedge combines the results of the first attempt and its hedge into one
// result and records failures.
func (r *run) resolveHedge(ctx context.Context, h *hedge, reservation target.Reservation, response Response, failure *AttemptFailure) (*CallResponse, *AttemptFailure) {
	now := time.Now()
	if failure == nil {
		if h.stop() {
			r.service.Latencies.Observe(now, now.Sub(reservation.StartedAt))
			return r.callResponse(response, reservation), nil
		}
		// The hedge got its response first.
		response.Discard()
		r.service.Table.Finish(reservation, now, target.Cancelled, response.Report())
	}
	if hedged, ok := h.waitForResponse(); ok {
		r.mayHaveRun = true
		r.allowance.ChargeDownstream(attemptsBelow(response, failure))
		r.service.Latencies.Observe(now, now.Sub(reservation.StartedAt))
		r.dispatcher.countExtraAttempt(outcome.RetryHedgeWon)
		return r.callResponse(hedged.response, hedged.reservation), nil
	}
	r.recordFailure(ctx, reservation, failure)
	if f := h.failure(); f != nil {
		r.recordFailure(ctx, h.reservation, f)
	}
	return nil, failure
}

// attemptsBelow returns the number of extra attempts that are charged for the layers below an
// attempt with the given response or failure.
func attemptsBelow(response Response, failure *AttemptFailure) int {
	if failure != nil {
		return failure.ExtraAttempts
	}
	return response.ExtraAttempts()
}

// hedge is a second attempt in parallel with the first one; it may never start. A
// nil *hedge means that no hedge was scheduled.
type hedge struct {
	run              *run
	firstReservation target.Reservation
	cancelFirst      context.CancelFunc
	timer            *time.Timer
	// done is closed when a started hedge has ended.
	done chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// started reports whether the hedge was started after its delay, and stopped
	// whether it is no longer needed.
	started bool
	stopped bool
	// tokenSpent reports whether a token was spent on the hedge, so that a target
	// may have received it.
	tokenSpent     bool
	cancelHedge    context.CancelFunc
	reservation    target.Reservation
	response       Response
	attemptFailure *AttemptFailure
}

// scheduleHedge schedules a hedge after the hedge delay, or returns nil if none is
// allowed.
func (r *run) scheduleHedge(ctx context.Context, cancelFirst context.CancelFunc, first target.Reservation) *hedge {
	if !r.call.Profile.Hedge || !r.call.Profile.Idempotent || !r.call.BodyReplayable || r.allowance.Remaining() < 1 || !r.suspect.mayHedge() {
		return nil
	}
	delay, ok := r.hedgeDelay(first)
	if !ok {
		return nil
	}
	h := &hedge{run: r, firstReservation: first, cancelFirst: cancelFirst, done: make(chan struct{})}
	h.timer = time.AfterFunc(delay, func() { h.launch(ctx) })
	return h
}

// hedgeDelayFactor is the hedge delay as a multiple of the first attempt's forecast.
const hedgeDelayFactor = 1.6

// hedgeDelay returns the delay before the hedge: a multiple of the first attempt's
// forecast or, without one, the profile's percentile of recent latencies. ok is
// false if there are too few of these.
func (r *run) hedgeDelay(first target.Reservation) (d time.Duration, ok bool) {
	if first.Forecast > 0 {
		return time.Duration(hedgeDelayFactor * float64(first.Forecast)), true
	}
	return r.service.Latencies.Percentile(time.Now(), r.call.Profile.HedgePercentile)
}

// launch runs the hedge after its delay, if a target has a free slot by estimate and
// the budget allows it.
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
	if h.end(reservation, response, failure) {
		// The cancelled first attempt returns, and resolveHedge uses this response.
		h.cancelFirst()
		return
	}
	if response != nil {
		response.Discard()
		h.run.service.Table.Finish(reservation, time.Now(), target.Cancelled, response.Report())
	}
}

// end records how the attempt of the hedge ended, and reports whether its response is used.
// The target may have run a call whose response is not.
func (h *hedge) end(reservation target.Reservation, response Response, failure *AttemptFailure) (isUsed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reservation, h.attemptFailure = reservation, failure
	if failure != nil {
		return false
	}
	if !h.stopped {
		h.response = response
		return true
	}
	h.attemptFailure = &AttemptFailure{Result: target.Cancelled, Written: true}
	return false
}

// begin marks the hedge as started and returns its context, or false if the hedge
// was stopped.
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

// send makes the attempt of the hedge; after a refusal it tries another target. It
// returns neither a response nor a failure if no attempt was made because no target
// had a free slot or no token was left. The layers below get no extra attempts,
// since the first attempt already has their share of the allowance.
func (h *hedge) send(ctx context.Context) (reservation target.Reservation, response Response, failure *AttemptFailure) {
	excluded := append([]vm.ID{h.firstReservation.Ref.ID}, h.run.excluded...)
	for i := range maxAttemptsPerRound {
		if !h.run.suspect.mayHedge() {
			h.run.dispatcher.countExtraAttempt(outcome.ForgoneSuspected)
			return reservation, nil, failure
		}
		opts := target.PickOptions{Exclude: excluded, RequireFreeSlot: true, Objective: h.run.call.Profile.LatencyObjective}
		h.queryLoad(ctx, opts)
		next, status := h.run.service.Table.PickWithOptions(time.Now(), opts)
		if status != target.PickOK {
			h.run.dispatcher.countExtraAttempt(outcome.ForgoneTargetsBusy)
			return reservation, nil, failure
		}
		reservation = next
		if i == 0 && !h.spendToken(reservation) {
			return target.Reservation{}, nil, nil
		}
		h.run.notifyDecision(Hedged, reservation, nil)
		response, failure = h.run.attempt(ctx, reservation, 0, true)
		if failure == nil || failure.Result != target.Refused || !h.run.dispatcher.spendRefusalRetryToken(h.run.service) {
			return reservation, response, failure
		}
		excluded = append(excluded, reservation.Ref.ID)
	}
	return reservation, nil, failure
}

// queryLoad queries the load of targets without a fresh report.
func (h *hedge) queryLoad(ctx context.Context, opts target.PickOptions) {
	if h.run.service.LoadQuerier == nil {
		return
	}
	if refs := h.run.service.Table.TargetsToQuery(time.Now(), opts); len(refs) > 0 {
		h.run.service.LoadQuerier.QueryLoad(ctx, refs)
	}
}

// spendToken spends a token for the hedge. Without one it cancels the reservation
// and returns false.
func (h *hedge) spendToken(reservation target.Reservation) bool {
	r := h.run
	if r.service.spendHedgeToken() {
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

// stop cancels the hedge because the first attempt got a response or the path to the targets
// is lost. If the hedge already has a response, it returns false and cancels nothing.
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
