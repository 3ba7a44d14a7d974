package stream

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/apricotmount/apricotmount/reply/replytest"
)

// Guards against a follower that can never read on, because the records that it asks for are longer than
// one response may be.
func TestReadAsksForFewerRecordsAfterLongResponse(t *testing.T) {
	const fitting = 4
	requests := 0
	address := replytest.Start(t, func(r *http.Request) replytest.Answer {
		requests++
		if max, _ := strconv.Atoi(r.URL.Query().Get("max")); max > fitting {
			return replytest.Answer{Text: "HTTP/1.1 200 OK\r\n\r\n", Piece: replytest.Filler, Count: maxBatchBytes/len(replytest.Filler) + 1, End: replytest.Close}
		}
		body := `{"next": 7}`
		return replytest.Answer{Text: "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body}
	})
	b, err := (&Client{URL: "http://" + address}).Read(t.Context(), "s", 0, 1024, 0)
	if err != nil || b.NextOffset != 7 {
		t.Errorf("read: got %+v (%v), want the records that fit", b, err)
	}
	if requests != 3 {
		t.Errorf("requests: got %d, want 3, for 1024, 64 and 4 records", requests)
	}
}
