package wire

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/reply/replytest"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// endTestProtocol names the instance on each response.
var endTestProtocol = Protocol{InstanceHeader: "Instance", StateHeader: "State", LoadPath: "/load"}

func hasEnded(address string) bool {
	ref := target.Ref{ID: "i-1", Address: vm.Address(address)}
	p := NewPool(ref, Settings{Protocol: endTestProtocol}, 4, 0, nil, discardObserver{})
	defer p.Close()
	return p.HasEnded(context.Background(), "i-1")
}

func TestEndOfProcessIsDistinguishedFromBrokenConnection(t *testing.T) {
	respondAs := func(id string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance", id) }))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.Close()
	for _, tt := range []struct {
		name, address string
		want          bool
	}{
		{"the process responds", respondAs("i-1"), false},
		{"another process responds", respondAs("i-2"), true},
		{"connections are refused", refusing.Addr().String(), true},
		{"connections are closed at once", replytest.StartRaw(t, func(c *net.TCPConn) { c.Close() }), true},
		{"connections are silent", replytest.StartRaw(t, func(*net.TCPConn) {}), false},
	} {
		start := time.Now()
		if got := hasEnded(tt.address); got != tt.want {
			t.Errorf("%s: got ended %t, want %t", tt.name, got, tt.want)
		}
		if elapsed := time.Since(start); elapsed > 2*endCheckTimeout {
			t.Errorf("%s: got a result after %s, want one within %s", tt.name, elapsed, endCheckTimeout)
		}
	}
}
