package wire

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

var (
	// ErrConnEnded is returned if a connection ended before any part of the request was
	// written, and before its body was read.
	ErrConnEnded = eris.New("the connection ended before the request")

	errEnded       = eris.New("the connection has ended")
	errUnsolicited = eris.New("data was received while no request was open")
)

// exchange is the state of the requests and responses on a connection. Data belongs to a
// response only if it arrives after the beginning of a request and before the end of the
// response. Its zero value is that of a connection without a request. It is safe for
// concurrent use.
type exchange struct {
	mu      sync.Mutex
	changed *sync.Cond
	// hasBegun reports whether any request was begun.
	hasBegun bool
	// isOpen reports whether a request was begun whose response has not ended.
	isOpen bool
	// isReading reports whether the reader waits for data. It has then used all data that
	// arrived before.
	isReading bool
	// hasEnded reports whether the connection was closed or received unsolicited data.
	hasEnded bool
}

// set changes the state and wakes all waiting calls of awaitReady.
func (e *exchange) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
	if e.changed != nil {
		e.changed.Broadcast()
	}
}

// beginRead records that the reader waits for data.
func (e *exchange) beginRead() {
	e.set(func() { e.isReading = true })
}

// endRead records that a read has returned, and whether it received data. It returns an error if the
// data belongs to no response.
func (e *exchange) endRead(hasData bool) (err error) {
	e.set(func() {
		e.isReading = false
		if hasData && !e.isOpen {
			e.hasEnded = true
			err = errUnsolicited
		}
	})
	return err
}

// beginWrite opens the exchange, or returns an error if the connection has ended.
func (e *exchange) beginWrite() (err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hasEnded {
		return errEnded
	}
	e.hasBegun, e.isOpen = true, true
	return nil
}

// finish records that a response has ended.
func (e *exchange) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isOpen = false
}

// end records that the connection was closed.
func (e *exchange) end() {
	e.set(func() { e.hasEnded = true })
}

// isEnded reports whether the connection was closed or received unsolicited data.
func (e *exchange) isEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hasEnded
}

// awaitReady waits until the reader has used all data of the last response. It returns
// ErrConnEnded if there was more data than that, which makes the transport close the
// connection, and if ctx ends.
func (e *exchange) awaitReady(ctx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changed == nil {
		e.changed = sync.NewCond(&e.mu)
	}
	if e.hasBegun && !e.isReading && !e.hasEnded {
		stop := context.AfterFunc(ctx, func() { e.set(func() {}) })
		defer stop()
	}
	for e.hasBegun && !e.isReading && !e.hasEnded && ctx.Err() == nil {
		e.changed.Wait()
	}
	if e.hasEnded || ctx.Err() != nil {
		return ErrConnEnded
	}
	e.isOpen = false
	return nil
}
