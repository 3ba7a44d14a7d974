package dispatch

import "github.com/apricotmount/apricotmount/target"

// hedgeResponse is the response of a hedge and the reservation of its target.
type hedgeResponse struct {
	response    Response
	reservation target.Reservation
}

// waitForResponse waits until a started hedge has ended and returns its response. It
// keeps a hedge that has not started from starting. ok is false if there is no
// response.
func (h *hedge) waitForResponse() (resp hedgeResponse, ok bool) {
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

// hasSpentToken reports whether a target may have received the hedge.
func (h *hedge) hasSpentToken() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tokenSpent
}

// cancelContext cancels the hedge's context. A response of the hedge must have been
// read before.
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

// await waits until a hedge that was stopped has ended, which uses the state of its call until then.
func (h *hedge) await() {
	if h == nil {
		return
	}
	h.mu.Lock()
	started := h.started
	h.mu.Unlock()
	if started {
		<-h.done
	}
}

// failure returns the failure of a hedge that has ended, or nil.
func (h *hedge) failure() *AttemptFailure {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.attemptFailure
}
