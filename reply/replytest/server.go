package replytest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// End is what a server does with a connection once it has written an answer.
type End int

// The ends.
const (
	// Keep reads the next request.
	Keep End = iota
	// Close closes the connection in order, after all that arrives has been read.
	Close
	// CloseUnread closes the connection while a part of the body waits unread, which resets it.
	CloseUnread
	// Reset resets the connection.
	Reset
	// Hold neither writes nor closes until the client has closed the connection.
	Hold
)

// Answer is what a server writes to one request, before it reads the body.
type Answer struct {
	// Text is written first, and then, once Until is closed, Piece up to Count times; a negative Count
	// means until the client closes the connection. A nil Until does not wait.
	Text, Piece string
	Until       <-chan struct{}
	Count       int
	// Wait is the pause between the last byte and the end.
	Wait time.Duration
	// End is what follows.
	End End
	// IsBodyRead makes the server read the whole body before it answers.
	IsBodyRead bool
}

// Start starts a server that answers each request as answer states, and returns its address. It ends
// with the test. RemoteAddr of a request tells the connections apart.
func Start(t testing.TB, answer func(r *http.Request) Answer) (address string) {
	t.Helper()
	return StartRaw(t, func(c *net.TCPConn) { serveAnswers(c, answer) })
}

// StartRaw starts a server that serves each connection by serve, in a goroutine of its own, and returns its
// address. It ends with the test; serve must close its connection.
func StartRaw(t testing.TB, serve func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// serveAnswers answers the requests of one connection.
func serveAnswers(c *net.TCPConn, answer func(r *http.Request) Answer) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		r.RemoteAddr = c.RemoteAddr().String()
		a := answer(r)
		if a.IsBodyRead {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if err := a.Write(c); err != nil {
			return
		}
		time.Sleep(a.Wait)
		switch a.End {
		case Keep:
			_, _ = io.Copy(io.Discard, r.Body)
			continue
		case Close:
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, br)
		case Hold:
			_, _ = io.Copy(io.Discard, br)
		case CloseUnread:
			// Bytes arrive in pieces: behind the first byte wait more.
			_, _ = c.Read(make([]byte, 1))
		case Reset:
			_ = c.SetLinger(0)
		}
		return
	}
}

// Write writes the text and the pieces to a connection.
func (a Answer) Write(w io.Writer) (err error) {
	if _, err = io.WriteString(w, a.Text); err != nil {
		return err
	}
	if a.Until != nil {
		<-a.Until
	}
	for i := 0; i != a.Count && err == nil; i++ {
		_, err = io.WriteString(w, a.Piece)
	}
	return err
}

// Filler is a piece of an answer that is long or has no end.
var Filler = strings.Repeat("x", 32<<10)

// Chunk returns data as one chunk of a body.
func Chunk(data string) string {
	return strconv.FormatInt(int64(len(data)), 16) + "\r\n" + data + "\r\n"
}
