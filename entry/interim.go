package entry

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/rotisserie/eris"
)

// maxInterimResponses is the maximum number of interim responses (1xx) to one request. A
// target that sends them without end must not occupy a node.
const maxInterimResponses = 32

var errInterimResponses = eris.New("the target sent too many interim responses")

// hintWriter forwards early hints (103) to the caller while the response is pending. Its
// zero value is open.
type hintWriter struct {
	mu       sync.Mutex
	isClosed bool
}

// close ends the forwarding: the response begins.
func (hw *hintWriter) close() {
	hw.mu.Lock()
	defer hw.mu.Unlock()
	hw.isClosed = true
}

// interimReader handles the interim responses to one attempt. The transport calls receive in
// a goroutine of its own, which may outlive the attempt.
type interimReader struct {
	sender *callSender
	// count is the number of interim responses.
	count int
	// hasEnded reports whether the attempt has ended; it is guarded by the hintWriter.
	hasEnded bool
}

// withTrace returns a context that passes interim responses to ir.
func (ir *interimReader) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: ir.receive})
}

// receive handles one interim response; an error ends the attempt.
func (ir *interimReader) receive(status int, h textproto.MIMEHeader) error {
	ir.count++
	if ir.count > maxInterimResponses {
		return errInterimResponses
	}
	if status == http.StatusEarlyHints && ir.sender.w != nil && ir.isOwn(http.Header(h)) {
		ir.forward(http.Header(h))
	}
	return nil
}

// isOwn reports whether early hints belong to the call, by its ID.
func (ir *interimReader) isOwn(h http.Header) bool {
	idHeader := ir.sender.handler.protocol().IDHeader
	return idHeader == "" || h.Get(idHeader) == ir.sender.inbound.Header.Get(idHeader)
}

// forward writes early hints to the caller, unless the attempt has ended or the response
// has begun.
func (ir *interimReader) forward(hints http.Header) {
	hw := &ir.sender.hints
	hw.mu.Lock()
	defer hw.mu.Unlock()
	if hw.isClosed || ir.hasEnded {
		return
	}
	stripHopByHop(hints)
	ir.sender.handler.protocol().StripHeaders(hints)
	header := ir.sender.w.Header()
	response := maps.Clone(header)
	clear(header)
	maps.Copy(header, hints)
	ir.sender.w.WriteHeader(http.StatusEarlyHints)
	clear(header)
	maps.Copy(header, response)
}

// end is called when the attempt has ended. No hint is written after it returns.
func (ir *interimReader) end() {
	hw := &ir.sender.hints
	hw.mu.Lock()
	defer hw.mu.Unlock()
	ir.hasEnded = true
}
