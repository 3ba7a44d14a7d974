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

	"github.com/apricotmount/apricotmount/metrics"
)

// TestRefusalsBeforeRouting refuses calls before a route is looked for: each is
// logged with its ID and counted by its reason.
func TestRefusalsBeforeRouting(t *testing.T) {
	tests := []struct {
		name   string
		plan   *Plan
		body   string
		status int
		reason string
	}{
		{"a node without a plan", nil, "", http.StatusServiceUnavailable, "no-plan"},
		{"a long body", &Plan{Limits: Limits{MaxBodyBytes: 10}}, strings.Repeat("x", 11), http.StatusRequestEntityTooLarge, "body-too-long"},
		{"long headers", &Plan{Limits: Limits{MaxHeaderBytes: 5}}, "", http.StatusRequestHeaderFieldsTooLarge, "headers-too-long"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var lines bytes.Buffer
				registry := metrics.NewRegistry()
				n := &Node{
					informed: make(chan struct{}), fleet: &fleet{}, requestID: "X-Id", counts: metrics.NewCalls(registry.Scope),
					logger: zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"}), zapcore.AddSync(&lines), zapcore.DebugLevel)),
				}
				n.fleet.current.Store(&directory{plan: tt.plan})
				if tt.plan != nil {
					close(n.informed)
				}
				r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(tt.body))
				r.Header.Set("X-Id", "call-1")
				w := httptest.NewRecorder()
				n.serve(w, r)
				if got := w.Code; got != tt.status {
					t.Errorf("status: got %d, want %d", got, tt.status)
				}
				if got := w.Header().Get("Retry-After"); (got != "") != (tt.plan == nil) {
					t.Errorf("time to come back: got %q", got)
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
