package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// race makes an attempt and, where the profile allows it, a hedge beside it.
// The first answer wins and the other attempt is cancelled at its target.
func (r *run) race(ctx context.Context, place target.Reservation) (*CallResponse, *AttemptFailure) {
	first, cancel := context.WithCancel(ctx)
	h := r.armHedge(ctx, cancel, place)
	answer, failure := r.attempt(first, place, r.allowance.DownstreamLimit())
	won, lost := r.settle(h, place, answer, failure)
	if h.wasPaid() && !r.allowance.Spend() {
		r.d.further(outcome.ForgoneNoAllowance)
	}
	if won == nil {
		cancel()
		return nil, lost
	}
	// The contexts live on with the answer's body.
	won.end = func() {
		cancel()
		h.release()
	}
	return won, nil
}

// attempt sends to a picked target; a failure is booked with the table at once.
func (r *run) attempt(ctx context.Context, place target.Reservation, allowance int) (Response, *AttemptFailure) {
	headerBy := earliest(r.call.Deadline, time.Now().Add(r.call.Profile.AttemptTimeout))
	if place.IsCold {
		headerBy = earliest(headerBy, place.LeaseDeadline)
	}
	answer, failure := r.sender.Send(ctx, Attempt{
		Target:            place.Ref,
		HeaderDeadline:    headerBy,
		Deadline:          r.call.Deadline.Add(-layerCost),
		MaxExtraAttempts:  allowance,
		RequireRecentRead: !r.call.Profile.Idempotent,
		MaySend:           func() bool { return r.permit(place) },
	})
	if failure != nil {
		r.svc.Table.Finish(place, time.Now(), failure.Result, failure.Report)
	}
	return answer, failure
}

// permit is the last word before the first byte: the target still takes work,
// the call is still wanted, and the claim on its key still holds.
func (r *run) permit(place target.Reservation) bool {
	now := time.Now()
	if !now.Before(r.call.Deadline) || !r.svc.Table.CanSend(place, now) {
		return false
	}
	if r.call.Claim == nil {
		return true
	}
	r.claimLapsed = !r.call.Claim.Use()
	return !r.claimLapsed
}

// settle books the end of a race.
func (r *run) settle(h *hedge, place target.Reservation, answer Response, failure *AttemptFailure) (*CallResponse, *AttemptFailure) {
	now := time.Now()
	if failure == nil {
		if h.stop() {
			r.svc.Latencies.Observe(now, now.Sub(place.StartedAt))
			return r.won(answer, place), nil
		}
		// The hedge answered first.
		answer.Discard()
		r.svc.Table.Finish(place, now, target.Cancelled, answer.Report())
	}
	if won, ok := h.result(); ok {
		r.mayHaveRun = true
		r.svc.Latencies.Observe(now, now.Sub(place.StartedAt))
		r.d.further(outcome.RetryHedgeWon)
		return r.won(won.answer, won.place), nil
	}
	r.noteFailure(place, failure)
	if f := h.failure(); f != nil {
		r.noteFailure(h.place, f)
	}
	return nil, failure
}

// noteFailure books a failed attempt with the call.
func (r *run) noteFailure(place target.Reservation, f *AttemptFailure) {
	r.decided(Failed, place, f)
	r.noteSent(f)
	r.allowance.ChargeDownstream(f.ExtraAttempts)
	r.avoid = append(r.avoid, place.Ref.ID)
	certain := !f.Written || f.Result == target.Refused
	if certain && r.call.Claim != nil {
		r.call.Claim.UndoUse()
	}
}

func (r *run) won(answer Response, place target.Reservation) *CallResponse {
	r.allowance.ChargeDownstream(answer.ExtraAttempts())
	waited := place.StartedAt.Sub(r.arrived)
	return &CallResponse{Response: answer, TimeToAttempt: waited, ExtraAttempts: r.allowance.Spent(), run: r, place: place}
}

// hedge is the second attempt of a race, which may never start. A nil *hedge is
// a race without one.
type hedge struct {
	run    *run
	first  target.Reservation
	cancel context.CancelFunc
	timer  *time.Timer
	done   chan struct{}

	mu      sync.Mutex
	started bool
	stopped bool
	// paid says that a target may have been sent the hedge.
	paid   bool
	end    context.CancelFunc
	place  target.Reservation
	answer Response
	failed *AttemptFailure
}

// armHedge prepares a hedge after the delay that the observed latencies give,
// or returns nil where none is allowed.
func (r *run) armHedge(ctx context.Context, cancel context.CancelFunc, first target.Reservation) *hedge {
	if !r.call.Profile.Hedge || !r.call.Profile.Idempotent || !r.call.BodyReplayable || r.allowance.Remaining() < 1 {
		return nil
	}
	delay, ok := r.hedgeDelay(first)
	if !ok {
		return nil
	}
	h := &hedge{run: r, first: first, cancel: cancel, done: make(chan struct{})}
	h.timer = time.AfterFunc(delay, func() { h.launch(ctx) })
	return h
}

// hedgePatience is how many forecasts an attempt may take before it is hedged.
const hedgePatience = 1.6

// hedgeDelay is how long the first attempt is left alone: by what was forecast
// of its target, or by the usual latencies where nothing was.
func (r *run) hedgeDelay(first target.Reservation) (d time.Duration, ok bool) {
	if first.Forecast > 0 {
		return time.Duration(hedgePatience * float64(first.Forecast)), true
	}
	return r.svc.Latencies.Percentile(time.Now(), r.call.Profile.HedgePercentile)
}

// launch starts the hedge if a target seems free and the budgets allow it.
func (h *hedge) launch(ctx context.Context) {
	ctx, ok := h.begin(ctx)
	if !ok {
		return
	}
	defer close(h.done)
	place, answer, failure := h.send(ctx)
	if answer == nil && failure == nil {
		return
	}
	h.mu.Lock()
	stopped := h.stopped
	h.place, h.answer, h.failed = place, answer, failure
	h.mu.Unlock()
	if failure != nil {
		return
	}
	if stopped {
		answer.Discard()
		h.run.svc.Table.Finish(place, time.Now(), target.Cancelled, answer.Report())
		return
	}
	// The first attempt returns now, cancelled, and finds this answer.
	h.cancel()
}

func (h *hedge) begin(ctx context.Context) (context.Context, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return nil, false
	}
	h.started = true
	ctx, h.end = context.WithDeadline(ctx, h.run.call.Deadline)
	return ctx, true
}

// send makes the hedge's attempt; targets that refuse are passed over. Without
// a free target or a token there is neither answer nor failure.
func (h *hedge) send(ctx context.Context) (place target.Reservation, answer Response, failure *AttemptFailure) {
	avoid := append([]vm.ID{h.first.Ref.ID}, h.run.avoid...)
	for tries := range triesPerRound {
		wish := target.PickOptions{Exclude: avoid, RequireFreeSlot: true, Objective: h.run.call.Profile.LatencyObjective}
		h.look(ctx, wish)
		place, none := h.run.svc.Table.PickWithOptions(time.Now(), wish)
		if none != target.PickOK {
			h.run.d.further(outcome.ForgoneTargetsBusy)
			return target.Reservation{}, nil, failure
		}
		if tries == 0 && !h.pay(place) {
			return target.Reservation{}, nil, nil
		}
		h.run.decided(Hedged, place, nil)
		answer, failure = h.run.attempt(ctx, place, 0)
		if failure == nil || failure.Result != target.Refused || !h.run.d.mayTryOn(h.run.svc) {
			return place, answer, failure
		}
		avoid = append(avoid, place.Ref.ID)
	}
	return place, nil, failure
}

// look asks for what the table has not seen of other targets.
func (h *hedge) look(ctx context.Context, w target.PickOptions) {
	if h.run.svc.LoadQuerier == nil {
		return
	}
	if refs := h.run.svc.Table.TargetsToQuery(time.Now(), w); len(refs) > 0 {
		h.run.svc.LoadQuerier.QueryLoad(ctx, refs)
	}
}

// pay spends a token for the hedge, or gives its place back.
func (h *hedge) pay(place target.Reservation) bool {
	r := h.run
	if r.svc.spendHedge() {
		h.mu.Lock()
		h.paid = true
		h.mu.Unlock()
		r.d.further(outcome.RetryHedge)
		return true
	}
	r.svc.Table.Finish(place, time.Now(), target.Cancelled, target.Report{})
	r.d.further(outcome.ForgoneNoTokens)
	return false
}

// stop ends the hedge for an answer of the first attempt; it reports false if
// the hedge has answered already.
func (h *hedge) stop() bool {
	if h == nil {
		return true
	}
	h.timer.Stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.answer != nil {
		return false
	}
	h.stopped = true
	if h.end != nil {
		h.end()
	}
	return true
}

// wonAnswer is a hedge's answer and where it came from.
type wonAnswer struct {
	answer Response
	place  target.Reservation
}

// result waits for a started hedge and returns its answer, if it has one.
func (h *hedge) result() (w wonAnswer, ok bool) {
	if h == nil {
		return wonAnswer{}, false
	}
	h.timer.Stop()
	h.mu.Lock()
	if !h.started {
		h.stopped = true
		h.mu.Unlock()
		return wonAnswer{}, false
	}
	h.mu.Unlock()
	<-h.done
	h.mu.Lock()
	defer h.mu.Unlock()
	return wonAnswer{answer: h.answer, place: h.place}, h.answer != nil
}

// wasPaid reports whether a target may have been sent the hedge.
func (h *hedge) wasPaid() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.paid
}

// release ends the context of a hedge whose answer has been read.
func (h *hedge) release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.end != nil {
		h.end()
	}
}

// failure is the failure of a hedge that has ended.
func (h *hedge) failure() *AttemptFailure {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failed
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
