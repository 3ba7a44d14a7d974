package wire

import (
	"io"
	"net/http"
	"testing"

	"github.com/apricotmount/apricotmount/reply/replytest"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// BenchmarkSend is the cost of a request and a response with ordinary headers on a kept connection,
// with that of the server.
func BenchmarkSend(b *testing.B) {
	const response = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 06:00:00 GMT\r\nContent-Type: application/json\r\nTarget-Instance: a\r\nTarget-State: live\r\nTarget-In-Flight: 1\r\nX-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 5\r\n\r\nwhole"
	address := replytest.Start(b, func(*http.Request) replytest.Answer { return replytest.Answer{Text: response} })
	p := NewPool(target.Ref{ID: "t", Address: vm.Address(address)}, Settings{}, 1, 0, nil, discardObserver{})
	defer p.Close()
	b.ReportAllocs()
	for range b.N {
		c, err := p.Get(b.Context(), false, nil)
		if err != nil {
			b.Fatal(err)
		}
		req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+address+"/x", nil)
		if err != nil {
			b.Fatal(err)
		}
		resp, _, err := c.Send(req, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		c.Release(err == nil)
	}
}
