package abuse

import (
	"io"
	"net/http"
	"path"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/platform"
	"github.com/apricotmount/apricotmount/reply/replytest"
)

// answerBytes is the length of a large answer, which a node holds back until it is whole.
const answerBytes = 248 << 10

// answerCrowdSize is the number of clients whose answers never end.
const answerCrowdSize = 100

// oddAnswer returns one of the answers that have no end, or a late one. Its header lines are those of an
// answer to the request with the ID.
func oddAnswer(name, id string) replytest.Answer {
	filler := replytest.Filler
	head := "HTTP/1.1 200 OK\r\n" + platform.RequestIDHeader + ": " + id + "\r\nX-Apricotmount-Response-Stamp: stamp\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n"
	switch name {
	case "status-line":
		return replytest.Answer{Text: "HTTP/1.1 200 ", Piece: filler, Count: -1}
	case "one-line":
		return replytest.Answer{Text: head + "X: ", Piece: filler, Count: -1}
	case "short-lines":
		return replytest.Answer{Text: head, Piece: strings.Repeat("a:\n", 1000), Count: -1}
	case "long-lines":
		return replytest.Answer{Text: head, Piece: "X: " + filler[:1000] + "\r\n", Count: -1}
	case "empty-lines":
		return replytest.Answer{Piece: strings.Repeat("\r\n", 1000), Count: -1}
	case "interim":
		return replytest.Answer{Piece: strings.Repeat("HTTP/1.1 103 Hints\r\n\r\n", 100), Count: -1}
	case "interim-lines":
		return replytest.Answer{Piece: "HTTP/1.1 103 Hints\r\n" + strings.Repeat("a:\r\n", 250) + "\r\n", Count: -1}
	case "no-length":
		return replytest.Answer{Text: head + "\r\n", Piece: filler, Count: -1}
	case "huge-length":
		return replytest.Answer{Text: head + "Content-Length: 9000000000000000000\r\n\r\n", Piece: filler, Count: -1}
	case "large-chunks":
		return replytest.Answer{Text: chunked + "\r\n", Piece: replytest.Chunk(filler), Count: -1}
	case "small-chunks":
		return replytest.Answer{Text: chunked + "\r\n", Piece: strings.Repeat(replytest.Chunk("x"), 1000), Count: -1}
	case "chunk-extension":
		return replytest.Answer{Text: chunked + "\r\n5;", Piece: filler, Count: -1}
	case "chunk-size":
		return replytest.Answer{Text: chunked + "\r\n", Piece: strings.Repeat("0", 1000), Count: -1}
	case "trailers":
		return replytest.Answer{Text: chunked + "\r\n0\r\n", Piece: strings.Repeat("X: 1\r\n", 1000), Count: -1}
	case "behind-refusal":
		return replytest.Answer{Text: strings.Replace(head, "200 OK", "503 Full", 1) + "X-Apricotmount-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", Piece: filler, Count: -1}
	case "foreign":
		return replytest.Answer{Text: "HTTP/1.1 200 OK\r\n" + platform.RequestIDHeader + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", Piece: replytest.Chunk(filler), Count: -1}
	case "behind-answer":
		return replytest.Answer{Text: head + "Content-Length: 5\r\n\r\nwhole", Piece: filler, Count: -1}
	case "slow-end":
		return replytest.Answer{Text: chunked + "\r\n", Piece: replytest.Chunk(filler[:1<<10]), Count: answerBytes >> 10}
	case "slow-end-with-length":
		return replytest.Answer{Text: head + "Content-Length: 253953\r\n\r\n", Piece: filler[:1<<10], Count: answerBytes >> 10}
	case "slow-end-at-close":
		return replytest.Answer{Text: head + "\r\n", Piece: filler[:1<<10], Count: answerBytes >> 10}
	default:
		// A head of many lines without its end.
		return replytest.Answer{Text: withShortLines("HTTP/1.1 200 OK\r\n", 60<<10)}
	}
}

// answerOddly sends the answer that the path names, and waits until the caller leaves.
func answerOddly(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if err := oddAnswer(path.Base(r.URL.Path), r.Header.Get(platform.RequestIDHeader)).Write(conn); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// failingServer is a server that answers without end while it fails.
type failingServer struct {
	http.Handler
	fails *atomic.Bool
}

// ServeHTTP answers a request. An answer without end begins as one of the platform's does.
func (s failingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.fails.Load() {
		s.Handler.ServeHTTP(w, r)
		return
	}
	w.WriteHeader(http.StatusOK)
	for _, err := io.WriteString(w, `{"records": [{"payload": "`); err == nil; {
		_, err = io.WriteString(w, replytest.Filler)
	}
}

// oddCall is a call that gets one of the odd answers.
func oddCall(name string) func(i int) client {
	return func(i int) client { return client{start: requestStart("/odd/"+name, i) + "\r\n"} }
}

// Heads of answers that never end are bounded as well.
func TestTargetHeadsOfManyLines(t *testing.T) { checkCrowd(t, largeCrowdSize, oddCall("lines")) }

// Bytes without end from targets, in any place of an answer, must not fill the memory.
func TestAnswersWithoutEnd(t *testing.T) {
	n := startNode(t, maxFDs)
	for _, name := range []string{
		"status-line", "one-line", "short-lines", "long-lines", "empty-lines", "interim", "interim-lines", "no-length", "huge-length", "large-chunks",
		"small-chunks", "chunk-extension", "chunk-size", "trailers", "behind-refusal", "foreign", "behind-answer",
	} {
		t.Log(name)
		c := open(t, n.callers, answerCrowdSize, oddCall(name))
		c.hold()
		n.checkAlive(maxFDs)
		c.close()
	}
}

// Large answers whose end is late, from more targets' slots than the memory has room for, ended the
// process: each was held back until it was whole.
func TestLateEndsOfLargeAnswers(t *testing.T) {
	for _, name := range []string{"slow-end", "slow-end-with-length", "slow-end-at-close"} {
		checkCrowd(t, largeCrowdSize, oddCall(name))
	}
}

// Bytes without end from the store must not fill the memory either.
func TestStoreAnswersWithoutEnd(t *testing.T) {
	n := startNode(t, maxFDs)
	n.storeFails.Store(true)
	time.Sleep(3 * holdTime)
	n.checkAlive(maxFDs)
}
