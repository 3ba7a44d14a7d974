package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

const (
	firstKey, secondKey = "key-one", "key-two"
	keyHeader           = "X-Apricotmount-Credential"
	tenantHeader        = "X-Apricotmount-Tenant"
)

// putTenantPlan writes a plan with two routes, of which /open/ is public, and two tenants.
func (c *testCluster) putTenantPlan(version int, secondKeys string) {
	route := `{"name":%q,"pathPrefix":%q,"routeType":"safe","timeoutMs":2000,"targetLatencyMs":600,"priority":1,"service":"a","maxAttempts":2,"public":%v}`
	c.store.Put(platformtest.OperatorTopic, "config", fmt.Sprintf(`{"version":%d,"services":[{"name":"a","healthPath":"/health","maxConns":200,"warmupS":3,"warmupPerS":6}],
"tenants":[{"name":"one","apiKeys":[%q],"priority":0},{"name":"two","apiKeys":[%s]}],
"limits":{"idleTimeoutMs":15000},"hosts":[{"host":"h.example","paths":[%s,%s]}]}`,
		version, firstKey, secondKeys, fmt.Sprintf(route, "r", "/x/", false), fmt.Sprintf(route, "o", "/open/", true)))
}

// headerRecorder is a target that keeps the headers and trailers of the last call.
type headerRecorder struct {
	*platformtest.Target
	mu   sync.Mutex
	last http.Header
}

func (h *headerRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/health" {
		header := r.Header.Clone()
		_, _ = bufio.NewReader(r.Body).ReadString(0)
		for name, values := range r.Trailer {
			header["Trailer-"+name] = values
		}
		h.mu.Lock()
		h.last = header
		h.mu.Unlock()
	}
	h.Target.ServeHTTP(w, r)
}

func newTenantCluster(t *testing.T) (*testCluster, *headerRecorder) {
	t.Helper()
	c := newTestCluster(t)
	c.putTenantPlan(1, fmt.Sprintf("%q", secondKey))
	rec := &headerRecorder{Target: &platformtest.Target{ID: "i-1", Slots: 4}}
	c.targets["i-1"] = rec.Target
	c.targetAddresses["i-1"] = c.listen(rec)
	c.putTarget("i-1", "a", "east", "ready")
	c.startNode("east", c.storeAddress)
	c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(0) })
	return c, rec
}

// sendRaw sends a request as text and returns the status.
func (c *testCluster) sendRaw(path, headers, body string) int {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.settings[0].CallerAddress)
	if err != nil {
		c.t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Apricotmount-Attempt-Id: id-%d\r\n%s\r\n%s", path, c.callCount.Add(1), headers, body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against a key that reaches a target, and against a tenant that a caller names.
func TestTargetReceivesTenantAndNoKey(t *testing.T) {
	c, rec := newTenantCluster(t)
	noBody := "Content-Length: 0\r\n"
	for _, test := range []struct {
		name, path, headers, body string
		status                    int
		tenant                    string
	}{
		{"known key", "/x/1", keyHeader + ": " + firstKey + "\r\n" + noBody, "", 200, "one"},
		{"other case", "/x/1", strings.ToLower(keyHeader) + ": " + secondKey + "\r\n" + noBody, "", 200, "two"},
		{"named tenant", "/x/1", keyHeader + ": " + firstKey + "\r\n" + strings.ToLower(tenantHeader) + ": two\r\n" + tenantHeader + ": two\r\n" + noBody, "", 200, "one"},
		{"tenant in Connection", "/x/1", "Connection: " + tenantHeader + "\r\n" + keyHeader + ": " + firstKey + "\r\n" + noBody, "", 200, "one"},
		{"trailer", "/x/1", keyHeader + ": " + firstKey + "\r\nTransfer-Encoding: chunked\r\nTrailer: " + tenantHeader + ", " + keyHeader + "\r\n", "1\r\nb\r\n0\r\n" + tenantHeader + ": two\r\n" + keyHeader + ": " + secondKey + "\r\n\r\n", 200, "one"},
		{"public route", "/open/1", keyHeader + ": " + firstKey + "\r\n" + tenantHeader + ": two\r\n" + noBody, "", 200, ""},
		{"no key", "/x/1", noBody, "", 401, ""},
		{"unknown key", "/x/1", keyHeader + ": " + firstKey + "x\r\n" + noBody, "", 401, ""},
		{"two keys", "/x/1", keyHeader + ": " + firstKey + "\r\n" + keyHeader + ": " + secondKey + "\r\n" + noBody, "", 401, ""},
		{"unknown route", "/y/1", noBody, "", 404, ""},
	} {
		if got := c.sendRaw(test.path, test.headers, test.body); got != test.status {
			t.Errorf("%s: got status %d, want %d", test.name, got, test.status)
		}
		if test.status != http.StatusOK {
			continue
		}
		rec.mu.Lock()
		header := rec.last
		rec.mu.Unlock()
		if got := strings.Join(header.Values(tenantHeader), ","); got != test.tenant {
			t.Errorf("%s: got tenant %q at the target, want %q", test.name, got, test.tenant)
		}
		if text := fmt.Sprint(header); strings.Contains(text, firstKey) || strings.Contains(text, secondKey) || strings.Contains(text, "Trailer-X") {
			t.Errorf("%s: got a key or trailer at the target: %s", test.name, text)
		}
	}
}

// Guards against a key that stays in use after it was taken away, also while the store is
// away and on a connection that is open, and against a configuration with a shared key.
func TestRemovedKeyIsRefused(t *testing.T) {
	c, _ := newTenantCluster(t)
	call := func(key string) int { return c.sendRaw("/x/1", keyHeader+": "+key+"\r\nContent-Length: 0\r\n", "") }
	if got := call(secondKey); got != http.StatusOK {
		t.Errorf("status of a known key: got %d, want 200", got)
	}
	c.putTenantPlan(2, `"key-new"`)
	c.waitFor(waitTimeout, "the new key", func() bool { return call("key-new") == http.StatusOK })
	if got := call(secondKey); got != http.StatusUnauthorized {
		t.Errorf("status of a removed key: got %d, want 401", got)
	}
	c.putTenantPlan(3, fmt.Sprintf("%q", firstKey))
	c.store.SetFault(platformtest.Unavailable)
	if got := call("key-new"); got != http.StatusOK {
		t.Errorf("status of a key after an invalid configuration: got %d, want 200", got)
	}
	c.waitFor(waitTimeout, "a refusal that leaves the key open", func() bool { return call("key-newest") == http.StatusServiceUnavailable })
}
