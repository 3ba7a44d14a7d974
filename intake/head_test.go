package intake

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
)

// scanInParts scans a text in parts of random lengths. It returns the number of bytes that belong to the head.
func scanInParts(text string, r *rand.Rand, scan func(p []byte) (int, bool)) (n int, isComplete bool) {
	for n < len(text) && !isComplete {
		end := min(len(text), n+1+r.IntN(8))
		var taken int
		taken, isComplete = scan([]byte(text[n:end]))
		n += taken
	}
	return n, isComplete
}

// What net/http takes as one head must be one head here: bytes that were counted as a body or as
// another request would not be bounded.
func TestHeadEndsWhereServerEndsIt(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	pieces := []string{"\r\n", "\n", "\r", "a: b\r\n", "a:\n", "c: d\r\n e\r\n", " \r\n", "\r\r\n", "Host: h\r\n", "\t x\n", "b:\r\n\r\n", "\n\n"}
	accepted := 0
	for range 20_000 {
		var b strings.Builder
		b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
		for range r.IntN(6) {
			b.WriteString(pieces[r.IntN(len(pieces))])
		}
		text := b.String() + "\r\n" + "rest"
		reader := bufio.NewReader(strings.NewReader(text))
		if _, err := http.ReadRequest(reader); err != nil {
			continue
		}
		accepted++
		rest, _ := io.ReadAll(reader)
		var h Head
		got, isComplete := scanInParts(text, r, h.Scan)
		if want := len(text) - len(rest); got != want || !isComplete {
			t.Fatalf("end of %q: got %d (complete %t), want %d", text, got, isComplete, want)
		}
	}
	if accepted < 1000 {
		t.Errorf("heads that the server accepts: got %d, want 1000 or more", accepted)
	}
}

// The end of a body in chunks must be where net/http finds it.
func TestChunksEndWhereServerEndsThem(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for range 5_000 {
		var b strings.Builder
		for range r.IntN(4) {
			data := strings.Repeat("\n0", 1+r.IntN(20))
			b.WriteString(strconv.FormatInt(int64(len(data)), 16) + []string{"", ";a=b", " ", ";1f"}[r.IntN(4)] + "\r\n" + data + "\r\n")
		}
		b.WriteString("0\r\n" + strings.Repeat("T: v\r\n", r.IntN(3)) + "\r\n")
		body := b.String()
		text := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body + "rest"
		reader := bufio.NewReader(strings.NewReader(text))
		req, err := http.ReadRequest(reader)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			t.Fatalf("%q: got error %v, want a body", body, err)
		}
		var c Chunks
		got, isComplete := scanInParts(body+"rest", r, c.Scan)
		if got != len(body) || !isComplete {
			t.Fatalf("end of %q: got %d (complete %t), want %d", body, got, isComplete, len(body))
		}
	}
}

func TestHeadExceedsLimitOfNamesAndValues(t *testing.T) {
	const limit = 1000
	tests := []struct {
		name, text string
		want       bool
	}{
		{"names and values at the limit", "GET / HTTP/1.1\r\n" + strings.Repeat("a: 23456789\r\n", limit/10), false},
		{"as many lines as names", "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", limit), false},
		{"long request line within the limit", "GET /" + strings.Repeat("x", limit-16) + " HTTP/1.1\r\na: " + strings.Repeat("x", limit-1), false},
		{"one line too long", "GET / HTTP/1.1\r\na: " + strings.Repeat("x", limit+2), true},
		{"request line too long", "GET /" + strings.Repeat("x", limit), true},
		{"too many empty values", "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", limit+4), true},
		{"continuation lines without end", "GET / HTTP/1.1\r\na: b\r\n" + strings.Repeat(" \n", limit+4), true},
	}
	for _, tt := range tests {
		var h Head
		h.Scan([]byte(tt.text))
		if got := h.Exceeds(limit); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.want)
		}
	}
}

// Empty lines without end never become a head.
func TestEmptyLinesEndHead(t *testing.T) {
	var h Head
	if n, isComplete := h.Scan(bytes.Repeat([]byte("\n"), 100)); !isComplete || n > maxEmptyBytes+1 {
		t.Errorf("empty lines: got complete %t after %d bytes, want an end after %d", isComplete, n, maxEmptyBytes+1)
	}
}

// A head must not take more memory than Cost states: in the request, in a copy of its lines, and
// in the list from which the copy is written.
func TestCostIsMemoryOfHead(t *testing.T) {
	for _, valueLength := range []int{0, 20, 500} {
		var b strings.Builder
		b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
		for i := 0; b.Len() < 64<<10; i++ {
			b.WriteString(strconv.FormatInt(int64(i), 36) + ":" + strings.Repeat("v", valueLength) + "\n")
		}
		text := b.String() + "\n"
		var h Head
		h.Scan([]byte(text))
		const count = 20
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var kept []any
		for range count {
			req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
			if err != nil {
				t.Fatal(err)
			}
			lines := make([]struct {
				name   string
				values []string
			}, len(req.Header))
			kept = append(kept, req, req.Header.Clone(), lines)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		got, limit := int64(after.HeapAlloc-before.HeapAlloc)/count, h.Cost()
		if got > limit || 4*got < limit {
			t.Errorf("memory of %d lines with values of %d bytes: got %d bytes, want at most the cost of %d, and a quarter or more", h.lines, valueLength, got, limit)
		}
		runtime.KeepAlive(kept)
	}
}
