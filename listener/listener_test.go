package listener

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// Connections that are established but not accepted yet when a listener is closed must
// be accepted, with what was sent on them; later ones must be refused.
func TestCloseAcceptsWaitingConnections(t *testing.T) { checkWaitingConnections(t, 0) }

// A process without processor time accepts the waiting connections late. None of them may be
// reset.
func TestWaitingConnectionsAreAcceptedLate(t *testing.T) {
	checkWaitingConnections(t, 300*time.Millisecond)
}

// checkWaitingConnections checks that the connections that wait when a listener is closed are
// accepted after a delay.
func checkWaitingConnections(t *testing.T, delay time.Duration) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const waiting = 5
	for range waiting {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "call"); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(delay)
	for i := range waiting {
		c, err := l.Accept()
		if err != nil {
			t.Fatalf("connection %d: got %v, want it accepted", i, err)
		}
		b := make([]byte, 4)
		if _, err := io.ReadFull(c, b); err != nil || string(b) != "call" {
			t.Errorf("connection %d: got %q %v, want what was sent", i, b, err)
		}
		c.Close()
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept afterwards: got %v, want net.ErrClosed", err)
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("connect afterwards: got a connection, want none")
	}
}

// Callers that go on connecting must not keep a closing listener open.
func TestCloseEndsThoughConnectionsKeepComing(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	l.waitingCount.Store(maxWaitingConns - 2)
	accepted := 0
	for {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if c, err = l.Accept(); err != nil {
			break
		}
		c.Close()
		accepted++
	}
	if accepted != 2 {
		t.Errorf("connections accepted: got %d, want 2", accepted)
	}
}

// Close must end an Accept that waits.
func TestCloseEndsWaitingAccept(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	time.Sleep(10 * time.Millisecond)
	l.Close()
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("accept: got %v, want net.ErrClosed", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("accept: got no result, want an error")
	}
}
