package gateway_test

import (
	"math/rand"
	"net/http"
	"reflect"
	"testing"
	"testing/quick"

	"github.com/coder/websocket"

	"github.com/apricotmount/apricotmount/peer"
)

// Messages of peers with any content, and bytes that are no message, must not end the
// process, and calls must be served meanwhile and afterwards.
func TestArbitraryPeerMessagesDoNotEndNode(t *testing.T) {
	c := newStartedCluster(t, 1)
	rng := rand.New(rand.NewSource(1))
	const links, messagesPerLink = 8, 100
	decodable := 0
	for range links {
		conn, _, err := websocket.Dial(t.Context(), "ws://"+string(c.settings[0].PeerAddress)+peer.Path, nil)
		if err != nil {
			t.Fatal(err)
		}
		for range messagesPerLink {
			v, ok := quick.Value(reflect.TypeFor[peer.Message](), rng)
			if !ok {
				t.Fatal("random message: got none, want one")
			}
			m := v.Interface().(peer.Message)
			if _, err := peer.Decode(m.Encode()); err == nil {
				decodable++
			}
			if err := conn.Write(t.Context(), websocket.MessageBinary, m.Encode()); err != nil {
				break
			}
		}
		noise := make([]byte, 200)
		rng.Read(noise)
		// The node has closed the connection if a message was invalid.
		_ = conn.Write(t.Context(), websocket.MessageBinary, noise)
		conn.CloseNow()
		if status, body := c.call(0); status != http.StatusOK {
			t.Fatalf("call: got %d %q, want 200", status, body)
		}
	}
	if decodable < links*messagesPerLink/2 {
		t.Errorf("messages that a node accepts: got %d of %d, want at least half", decodable, links*messagesPerLink)
	}
}
