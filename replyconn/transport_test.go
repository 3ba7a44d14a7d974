package replyconn_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/load"
	"github.com/apricotmount/apricotmount/operator"
	"github.com/apricotmount/apricotmount/platform"
	"github.com/apricotmount/apricotmount/replica"
	"github.com/apricotmount/apricotmount/reply/replytest"
	"github.com/apricotmount/apricotmount/replyconn"
	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/vm"
)

// client is one of the product's clients that read responses.
type client struct {
	name string
	// body is that of a response that the client accepts.
	body string
	call func(ctx context.Context, address string) error
}

// longText is longer than the buffers of a connection, so that it is still being written when the
// response arrives.
var longText = strings.Repeat("u", 8<<20)

// readers send short requests.
var readers = []client{
	{"store", strings.Repeat("\x00", 16), func(ctx context.Context, address string) error {
		_, err := platform.NewStore(address, 12).Read(ctx, replica.Operator, 0, 0)
		return err
	}},
	{"list of VMs", `{"vms": []}`, func(ctx context.Context, address string) error {
		_, err := (&vm.Client{URL: "http://" + address}).List(ctx)
		return err
	}},
	{"log", `{"next-offset": 0}`, func(ctx context.Context, address string) error {
		_, err := (&stream.Client{URL: "http://" + address}).Read(ctx, "s", 0, 1, 0)
		return err
	}},
	{"operator", `{}`, func(ctx context.Context, address string) error {
		_, err := (&operator.Client{URL: "http://" + address}).Status(ctx)
		return err
	}},
	{"fault of a stand-in", "totals", func(ctx context.Context, address string) error {
		_, err := standin.InjectFault(ctx, "http://"+address, []string{"totals"})
		return err
	}},
	{"readiness", "", func(ctx context.Context, address string) error {
		if (load.Endpoint{HealthAddress: address}).IsReady(ctx) {
			return nil
		}
		return io.ErrUnexpectedEOF
	}},
}

// writers send long requests.
var writers = []client{
	{"log", `{"offset": 1}`, func(ctx context.Context, address string) error {
		_, err := (&stream.Client{URL: "http://" + address}).Append(ctx, "s", []byte(longText))
		return err
	}},
	{"operator", `{}`, func(ctx context.Context, address string) error {
		_, err := (&operator.Client{URL: "http://" + address}).PublishDocument(ctx, config.Document{Operator: longText})
		return err
	}},
	{"plain", "whole", func(ctx context.Context, address string) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, io.NopCloser(strings.NewReader(longText)))
		if err != nil {
			return err
		}
		resp, err := replyconn.Client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}},
}

// check calls a client whose server gives each request the same answer.
func (c client) check(t *testing.T, name string, a replytest.Answer, wantOK bool) {
	t.Helper()
	address := replytest.Start(t, func(*http.Request) replytest.Answer { return a })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := c.call(ctx, address); (err == nil) != wantOK {
		t.Errorf("%s, %s: got error %v, want it accepted: %v", c.name, name, err, wantOK)
	}
}

// Guards against bytes that are no response and that a client takes for one, and against a sound response
// that it rejects.
func TestClientsRejectBrokenResponses(t *testing.T) {
	for _, c := range readers {
		length := fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
		tests := []struct {
			name, head, behind string
			wantOK             bool
		}{
			{"sound", "HTTP/1.1 200 OK\r\n" + length, "", true},
			{"up to the close", "HTTP/1.1 200 OK\r\n", "", true},
			{"HTTP/1.0", "HTTP/1.0 200 OK\r\n", "", true},
			{"bytes behind it", "HTTP/1.1 200 OK\r\n" + length, "HTTP/1.1 200 OK\r\n\r\n", true},
			{"blank in a name", "HTTP/1.1 200 OK\r\nX Y: a\r\n" + length, "", false},
			{"blank behind a length", "HTTP/1.1 200 OK\r\n" + strings.Replace(length, ":", " :", 1), "", false},
			{"control byte in the reason", "HTTP/1.1 200 \x01\r\n" + length, "", false},
			{"broken early hints", "HTTP/1.1 103 Hints\r\nX Y: a\r\n\r\nHTTP/1.1 200 OK\r\n" + length, "", false},
		}
		for _, tt := range tests {
			c.check(t, tt.name, replytest.Answer{Text: tt.head + "\r\n" + c.body + tt.behind, End: replytest.Close}, tt.wantOK)
		}
	}
}

// Guards against a reset that a client takes for the end of a response, while it writes a long request.
func TestClientsTakeNoResetForEnd(t *testing.T) {
	const calls = 40
	for _, c := range writers {
		text := "HTTP/1.1 200 OK\r\n\r\n" + c.body
		for range calls {
			for _, wait := range []time.Duration{0, time.Millisecond} {
				c.check(t, "reset", replytest.Answer{Text: text, End: replytest.Reset, Wait: wait}, false)
			}
		}
		c.check(t, "closed in order", replytest.Answer{Text: text, End: replytest.Close}, true)
	}
}
