package peer

import (
	"crypto/sha1"
	"encoding/base64"
	"net/http"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/reply/replytest"
	"github.com/apricotmount/apricotmount/vm"
)

// acceptKey returns the value with which a server accepts a link (RFC 6455, section 4.2.2).
func acceptKey(r *http.Request) string {
	sum := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
	return base64.StdEncoding.EncodeToString(sum[:])
}

// Guards against a link over a response that no server may send.
func TestBrokenResponseOpensNoLink(t *testing.T) {
	for _, tt := range []struct {
		name, line string
		want       bool
	}{
		{"sound", "X: a\r\n", true},
		{"blank in a name", "X Y: a\r\n", false},
		{"blank behind a name", "X : a\r\n", false},
	} {
		address := replytest.Start(t, func(r *http.Request) replytest.Answer {
			return replytest.Answer{
				Text: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" + tt.line + "Sec-WebSocket-Accept: " + acceptKey(r) + "\r\n\r\n",
				End:  replytest.Hold,
			}
		})
		l, err := (&Hub{}).dialLink(t.Context(), Settings{DialTimeout: time.Second}, vm.Address(address))
		if (err == nil) != tt.want {
			t.Errorf("%s: got error %v, want a link: %v", tt.name, err, tt.want)
		}
		if err == nil {
			l.conn.CloseNow()
		}
	}
}
