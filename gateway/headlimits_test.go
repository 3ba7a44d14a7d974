package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// The operator's limits on heads were applied to whole heads only, and the one on their time not at
// all.
func TestPlanLimitsHeadsWhileTheyArrive(t *testing.T) {
	c := newTestCluster(t)
	c.store.Put(platformtest.OperatorTopic, "config", `{"version":1,"services":[{"name":"a","healthPath":"/health","maxConns":200}],
"limits":{"maxHeaderBytes":1000,"headerTimeoutMs":300},"hosts":[{"host":"h.example","paths":[
{"name":"r","pathPrefix":"/x/","routeType":"safe","timeoutMs":2000,"targetLatencyMs":600,"priority":1,"service":"a","maxAttempts":2}]}]}`)
	c.startTarget("i-1", "a", "east")
	c.startNode("east", c.storeAddress)
	c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(0) })
	for _, tt := range []struct {
		name, part string
		want       int
	}{
		{"head that never ends", "GET /x/1 HTTP/1.1\r\n", http.StatusRequestTimeout},
		{"unfinished head over the limit", "GET /x/1 HTTP/1.1\r\nA: " + strings.Repeat("x", 1100), http.StatusRequestHeaderFieldsTooLarge},
	} {
		conn, err := net.Dial("tcp", c.settings[0].CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(waitTimeout))
		if _, err := io.WriteString(conn, tt.part); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != tt.want {
			t.Errorf("%s: got %v %v, want status %d", tt.name, resp, err, tt.want)
		}
	}
}
