package entry

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/rotisserie/eris"
)

// maxInterimResponses is the maximum number of interim responses (1xx) to one request. A
// target that sends them without end must not occupy a node.
const maxInterimResponses = 32

var errInterimResponses = eris.New("the target sent too many interim responses")

// interimReader handles the interim responses to one attempt.
type interimReader struct {
	sender *callSender
	// count is the number of interim responses.
	count int
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
	if status == http.StatusEarlyHints && ir.sender.w != nil {
		ir.forward(http.Header(h))
	}
	return nil
}

// forward writes early hints to the caller.
func (ir *interimReader) forward(hints http.Header) {
	header := ir.sender.w.Header()
	maps.Copy(header, hints)
	ir.sender.w.WriteHeader(http.StatusEarlyHints)
	for name := range hints {
		header.Del(name)
	}
}
