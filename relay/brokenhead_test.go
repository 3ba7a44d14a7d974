package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/apricotmount/apricotmount/reply/replytest"
	"github.com/apricotmount/apricotmount/vm"
)

// startBreakingNode starts a node that writes head to each relayed call and then closes the
// connection.
func startBreakingNode(t *testing.T, id vm.ID, head string) vm.VM {
	t.Helper()
	const probed = "HTTP/1.1 200 OK\r\n" + headerInstance + ": 1\r\n" + headerState + ": " + stateLive + "\r\nContent-Length: 0\r\n\r\n"
	address := replytest.Start(t, func(r *http.Request) replytest.Answer {
		if r.URL.Path != probePath {
			return replytest.Answer{Text: head, IsBodyRead: true, End: replytest.Close}
		}
		return replytest.Answer{Text: probed}
	})
	return vm.VM{ID: id, Address: vm.Address(address), Zone: "east"}
}

// Guards against a response whose head broke off between two nodes and which reaches the
// caller as whole. A call that may be repeated goes through another node.
func TestBrokenHeadOfNodeIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + headerInstance + ": 1\r\n" + headerState + ": live\r\n" + headerOutcome + ": done\r\n"
	for _, ending := range []string{"Content-Length: 5\r\n\r\n", "Connection: close\r\n\r\n"} {
		for length := range len(head + ending) {
			broken := startBreakingNode(t, "node-1", (head + ending)[:length])
			h, sender := newSendingHandler(t, false)
			setNodes(sender, []vm.VM{broken})
			if w := post(h, "body"); w.Code != http.StatusBadGateway {
				t.Errorf("unsafe call, %d bytes: got %d %q, want 502", length, w.Code, w.Body)
			}
			whole := startReceiver(t, "node-2", always, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "whole") })
			h, sender = newSendingHandler(t, true)
			for range 100 {
				sender.service.RetryBudget.Earn()
			}
			setNodes(sender, []vm.VM{broken, whole})
			if w := post(h, "body"); w.Code != http.StatusOK || w.Body.String() != "whole" {
				t.Errorf("safe call, %d bytes: got %d %q, want the response of the other node", length, w.Code, w.Body)
			}
		}
	}
}

// Guards against bytes between two nodes that are no response and reach the caller as one, and against a
// sound response that is taken for broken there.
func TestBrokenResponseOfNodeIsNotForwarded(t *testing.T) {
	const own = headerInstance + ": 1\r\n" + headerState + ": live\r\n" + headerOutcome + ": done\r\n"
	for _, sample := range slices.Concat(replytest.Broken, replytest.Sound) {
		node := startBreakingNode(t, "node-1", sample.Text(own))
		h, sender := newSendingHandler(t, false)
		sender.handler.Settings.ResponseBufferBytes = 1 << 16
		setNodes(sender, []vm.VM{node})
		server := httptest.NewServer(h)
		resp, err := http.Post(server.URL, "", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		server.Close()
		if isBroken := sample.Want != ""; (resp.StatusCode == http.StatusBadGateway) != isBroken {
			t.Errorf("%s: got %d, want 502: %v", sample.Name, resp.StatusCode, isBroken)
		}
	}
}
