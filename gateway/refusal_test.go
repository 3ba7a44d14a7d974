package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/apricotmount/apricotmount/inventory"
	"github.com/apricotmount/apricotmount/metrics"
)

// A call that is refused before it is routed must be logged with its ID and counted by
// its reason.
func TestRefusalsBeforeRoutingAreLoggedAndCounted(t *testing.T) {
	tests := []struct {
		name   string
		plan   *inventory.Plan
		body   string
		status int
		reason string
	}{
		{"no plan", nil, "", http.StatusServiceUnavailable, "no-plan"},
		{"no list of targets", &inventory.Plan{}, "", http.StatusServiceUnavailable, "no-target-list"},
		{"long body", &inventory.Plan{Limits: inventory.Limits{MaxBodyBytes: 10}}, strings.Repeat("x", 11), http.StatusRequestEntityTooLarge, "body-too-long"},
		{"long headers", &inventory.Plan{Limits: inventory.Limits{MaxHeaderBytes: 5}}, "", http.StatusRequestHeaderFieldsTooLarge, "headers-too-long"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var lines bytes.Buffer
				registry := metrics.NewRegistry()
				n := &Node{
					initialized: make(chan struct{}), upstreams: &upstreams{}, requestIDHeader: "X-Id", callMetrics: metrics.NewCalls(registry.Scope),
					logger: zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"}), zapcore.AddSync(&lines), zapcore.DebugLevel)),
				}
				n.upstreams.active.Store(&activeConfig{plan: tt.plan})
				isInitialized := tt.plan != nil && tt.reason != "no-target-list"
				if isInitialized {
					close(n.initialized)
				}
				r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(tt.body))
				r.Header.Set("X-Id", "call-1")
				w := httptest.NewRecorder()
				n.serveCaller(w, r)
				if got := w.Code; got != tt.status {
					t.Errorf("status: got %d, want %d", got, tt.status)
				}
				if got := w.Header().Get("Retry-After"); (got != "") == isInitialized {
					t.Errorf("Retry-After: got %q, want a value only without a plan or targets", got)
				}
				if got := lines.String(); !strings.Contains(got, `"call-1"`) || !strings.Contains(got, tt.reason) {
					t.Errorf("log: got %q, want the call's ID and %q", got, tt.reason)
				}
				scrape := httptest.NewRecorder()
				registry.Handler().ServeHTTP(scrape, httptest.NewRequest(http.MethodGet, "/metrics", nil))
				if want := `apricotmount_calls_not_run{reason="` + tt.reason + `"} 1`; !strings.Contains(scrape.Body.String(), want) {
					t.Errorf("metrics: want a line %q", want)
				}
			})
		})
	}
}
