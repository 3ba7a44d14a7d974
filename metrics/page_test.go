package metrics

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/outcome"
)

// Fails if a metric is added, renamed or removed without a change of docs/METRICS.md.
func TestMetricsPageListsExactlyTheRegisteredMetrics(t *testing.T) {
	page, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	r := NewRegistry()
	NewCalls(r.Scope).CountDone(time.Millisecond, 0)
	NewNode(r.Scope).UpdateGauges(NodeState{})
	NewInvariantCounter(r.Scope)(invariant.Name(0))
	g := NewGateway(r.Scope)
	g.UpdateGauges(GatewayState{})
	g.RecordCall("s", outcome.Done, time.Millisecond)
	g.CountRelayRefusal("no-path")
	NewRollouts(r.Scope).Update(RolloutState{Service: "s"})
	var text strings.Builder
	if err := writeText(&text, r.snapshot()); err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for line := range strings.Lines(text.String()) {
		name := regexp.MustCompile(`^apricotmount_([a-z_]+)`).FindStringSubmatch(line)[1]
		name = strings.TrimSuffix(strings.TrimSuffix(name, "_bucket"), "_count")
		names[name] = true
	}
	for name := range names {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("docs/METRICS.md: got no entry for %s, want one", name)
		}
	}
	for _, m := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		if name := m[1]; name != "apricotmount_" && !names[name] {
			t.Errorf("docs/METRICS.md: got an entry for %s, want none: it is not registered", name)
		}
	}
}
