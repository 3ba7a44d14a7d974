package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/outcome"
)

func TestTextOfAScrape(t *testing.T) {
	r := NewRegistry()
	calls := NewCalls(r.Scope)
	calls.CountDone(3*time.Millisecond, 0)
	calls.CountDone(5*time.Second, 0)
	calls.CountNotRun(outcome.QueueFull)
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	got := w.Body.String()
	for _, want := range []string{
		"apricotmount_calls_done 2\n",
		"apricotmount_calls_not_run{reason=\"queue-full\"} 1\n",
		"apricotmount_calls_not_run{reason=\"no-target\"} 0\n",
		"apricotmount_call_seconds_bucket{le=\"0.0032\"} 1\n",
		"apricotmount_call_seconds_count 2\n",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("scrape: got %q, want a line %q", got, want)
		}
	}
}
