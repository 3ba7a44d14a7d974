package wire

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against data that arrives between two exchanges and is taken for the response to
// the second.
func TestDataOutsideExchangeIsRejected(t *testing.T) {
	tests := []struct {
		name string
		// before is done before the data arrives.
		before   func(e *exchange)
		wantFail bool
	}{
		{"before the first request", func(e *exchange) {}, true},
		{"after the request", func(e *exchange) { e.beginWrite() }, false},
		{"after the response", func(e *exchange) { e.beginWrite(); e.finish() }, true},
		{"before the next request", func(e *exchange) {
			e.beginWrite()
			e.beginRead()
			e.awaitReady(context.Background())
		}, true},
		{"after the next request", func(e *exchange) { e.beginWrite(); e.finish(); e.beginWrite() }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e exchange
			tt.before(&e)
			e.beginRead()
			if err := e.endRead(true); (err != nil) != tt.wantFail {
				t.Errorf("data: got %v, want an error: %v", err, tt.wantFail)
			}
			if err := e.beginWrite(); (err != nil) != tt.wantFail {
				t.Errorf("next request: got %v, want an error: %v", err, tt.wantFail)
			}
		})
	}
}

// Guards against a request that begins while the transport still holds data that it received
// together with the last response.
func TestRequestWaitsForReader(t *testing.T) {
	tests := []struct {
		name   string
		during func(e *exchange, cancel func())
		want   error
	}{
		{"the reader waits for data", func(e *exchange, _ func()) { e.beginRead() }, nil},
		{"the transport closes", func(e *exchange, _ func()) { e.end() }, ErrConnEnded},
		{"the context ends", func(_ *exchange, cancel func()) { cancel() }, ErrConnEnded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var e exchange
				e.beginWrite()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				start := time.Now()
				time.AfterFunc(time.Millisecond, func() { tt.during(&e, cancel) })
				if got := e.awaitReady(ctx); !errors.Is(got, tt.want) {
					t.Errorf("wait: got %v, want %v", got, tt.want)
				}
				if got := time.Since(start); got != time.Millisecond {
					t.Errorf("time of the wait: got %s, want 1ms", got)
				}
			})
		})
	}
}
