package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/platform"
	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// oddFleet is a store with odd entries, a target and nodes that run as processes.
type oddFleet struct {
	t      *testing.T
	store  *platformtest.Store
	target *platformtest.Target
	// address is that of the target, and storeAddress that of the store.
	address, storeAddress string
	heartbeats            int
	nodes                 []*oddNode
	callCount             int
}

// oddNode is a node that runs as a process.
type oddNode struct {
	process           *exec.Cmd
	log               bytes.Buffer
	caller, readiness string
	startedAt         time.Time
}

func newOddFleet(t *testing.T) *oddFleet {
	f := &oddFleet{t: t, store: &platformtest.Store{}, target: &platformtest.Target{ID: "good", Slots: 6, WarmCallDuration: time.Millisecond}}
	f.storeAddress, f.address = f.listen(f.store), f.listen(f.target)
	f.putPlan(1, "/v1/")
	f.putTarget("ready")
	return f
}

func (f *oddFleet) listen(h http.Handler) (address string) {
	f.t.Helper()
	address, closeServer, err := platformtest.StartServer(h)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(closeServer)
	return address
}

// putPlan publishes a plan with one route.
func (f *oddFleet) putPlan(version int, prefix string) {
	routes := []platformtest.Route{{Prefix: prefix, IsIdempotent: true, Service: "a"}}
	f.store.Put(platformtest.OperatorTopic, "config", platformtest.ConfigurationJSON(version, "h.example", []string{"a", "b"}, routes))
}

// putTarget writes the record of the good target.
func (f *oddFleet) putTarget(state string) {
	f.heartbeats++
	f.store.Put(platformtest.TargetsTopic, "good", f.target.RecordJSON("a", "east", f.address, state, f.heartbeats))
}

// startNode starts a node.
func (f *oddFleet) startNode() *oddNode {
	f.t.Helper()
	n := &oddNode{startedAt: time.Now()}
	var ports [4]int
	for i := range ports {
		port, err := platformtest.FreePort("127.0.0.1")
		if err != nil {
			f.t.Fatal(err)
		}
		ports[i] = port
	}
	n.caller, n.readiness = fmt.Sprint("127.0.0.1:", ports[0]), fmt.Sprint("127.0.0.1:", ports[1])
	settings := platformtest.VMSettings{
		Name: fmt.Sprint("node-", len(f.nodes)), IP: "127.0.0.1", Zone: "east", CallersAddress: n.caller, ReadinessAddress: n.readiness, StoreAddress: f.storeAddress,
		FirstInternalPort: min(ports[2], ports[3]), LastInternalPort: max(ports[2], ports[3]), GraceSeconds: 2,
	}
	path := filepath.Join(f.t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(settings.YAML()), 0o600); err != nil {
		f.t.Fatal(err)
	}
	program, err := os.Executable()
	if err != nil {
		f.t.Fatal(err)
	}
	n.process = exec.Command(program)
	n.process.Env = append(os.Environ(), runNodeEnv+"=yes", platform.SettingsPathEnv+"="+path)
	n.process.Stdout, n.process.Stderr = &n.log, &n.log
	if err := n.process.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { n.process.Process.Kill() })
	f.nodes = append(f.nodes, n)
	f.waitFor("a ready node", func() bool { return f.get(n.readiness, "/api/ready") == http.StatusOK })
	// A node may be ready before it has read all targets.
	f.waitFor("a call that is served", func() bool { return f.get(n.caller, "/v1/x") == http.StatusOK })
	return n
}

// get sends a call and returns the status of the response; zero if there is none.
func (f *oddFleet) get(address, path string) (status int) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "h.example"
	f.callCount++
	platformtest.SetRequestHeaders(req.Header, fmt.Sprint("id-", f.callCount), 2*time.Second)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (f *oddFleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	const timeout = 20 * time.Second
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: condition not met within %s", what, timeout)
		}
	}
}

// serveFor calls all nodes for a time, while targets write heartbeats, and checks that each
// call is served.
func (f *oddFleet) serveFor(d time.Duration, path string, heartbeat func()) {
	f.t.Helper()
	nextBeat, failures := time.Now(), map[int]int{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(nextBeat) {
			nextBeat = time.Now().Add(500 * time.Millisecond)
			heartbeat()
		}
		for _, n := range f.nodes {
			if status := f.get(n.caller, path); status != http.StatusOK {
				failures[status]++
			}
		}
	}
	if len(failures) > 0 {
		f.t.Errorf("calls that were not served, by status: got %v, want none", failures)
	}
}

// stop stops a node and checks that it had not ended by itself and used little memory and
// processor time.
func (f *oddFleet) stop(i int) {
	f.t.Helper()
	const maxMemoryKB, maxProcessorShare = 256 << 10, 0.5
	n := f.nodes[i]
	if err := n.process.Process.Signal(syscall.SIGTERM); err != nil {
		f.t.Errorf("node %d: got %v, want a process that runs", i, err)
	}
	if err := n.process.Wait(); err != nil {
		f.t.Errorf("node %d: got %v, want a planned stop; end of its log:\n%s", i, err, n.log.Bytes()[max(0, n.log.Len()-2000):])
		return
	}
	state := n.process.ProcessState
	if usage, ok := state.SysUsage().(*syscall.Rusage); ok && int(usage.Maxrss) > maxMemoryKB {
		f.t.Errorf("node %d: got %d KB of memory, want at most %d", i, usage.Maxrss, maxMemoryKB)
	}
	if got, limit := state.UserTime()+state.SystemTime(), time.Duration(maxProcessorShare*float64(time.Since(n.startedAt))); got > limit {
		f.t.Errorf("node %d: got %s of processor time, want at most %s", i, got, limit)
	}
}

// logLine is a line of a node's log.
type logLine struct {
	Event  string `json:"msg"`
	Key    string `json:"key"`
	Target string `json:"target"`
	State  string `json:"state"`
	Reason string `json:"reason"`
}

// lines returns the log lines of a node that has stopped.
func (n *oddNode) lines() (lines []logLine) {
	for text := range strings.Lines(n.log.String()) {
		var l logLine
		if json.Unmarshal([]byte(text), &l) == nil {
			lines = append(lines, l)
		}
	}
	return lines
}

// maxRecordBytes is the maximum length of a record in the platform's store.
const maxRecordBytes = 256 << 10

// oddValues returns records that differ from a valid one in the value of one field.
func oddValues(valid, field, value string) map[string]string {
	nested := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	values := map[string]string{"unreadable": "\xff\xfe\x00", "array": "[" + valid + "]", "top-10": nested(10), "top-100000": nested(100_000)}
	for name, odd := range map[string]string{
		"nested-10": nested(10), "nested-1000": nested(1000), "nested-100000": nested(100_000), "negative": "-1", "int64": "9223372036854775808", "float64": "1e400",
		"huge": "1e308", "long": `"` + strings.Repeat("x", maxRecordBytes) + `"`, "invalid": "\"\xff\"", "duplicate": "1," + field + "1e400",
	} {
		values[name] = strings.Replace(valid, field+value, field+odd, 1)
	}
	return values
}

// Odd entries of another writer, among the good ones and in place of them, ended nodes or kept
// them from following what was written later.
func TestOddEntriesLeaveOthersInForce(t *testing.T) {
	f := newOddFleet(t)
	f.startNode()
	f.startNode()
	const order = `{"service":"a","targetVersion":"v2","durationS":1}`
	plan := platformtest.ConfigurationJSON(1000, "h.example", []string{"a"}, []platformtest.Route{{Prefix: "/odd/", Service: "a"}})
	targets := oddValues(f.target.RecordJSON("a", "east", f.address, "ready", 1), `"slots":`, "6")
	for _, port := range []string{"-1", "0", "65536", "1e400"} {
		targets["port-"+port] = strings.Replace(f.target.RecordJSON("a", "east", "127.0.0.1:80", "ready", 1), ":80", ":"+port, 1)
	}
	targets["\xff"] = f.target.RecordJSON("a", "east", f.address, "ready", 1)
	orders, plans := oddValues(order, `"durationS":`, "1"), oddValues(plan, `"version":`, "1000")
	putOddTargets := func() {
		for name, value := range targets {
			if len(value) < maxRecordBytes/2 {
				f.store.Put(platformtest.TargetsTopic, "odd-"+name, value)
			}
		}
	}
	for name, value := range targets {
		f.store.Put(platformtest.TargetsTopic, "odd-"+name, value)
	}
	for name, value := range orders {
		f.store.Put(platformtest.OperatorTopic, "rollout/"+name, value)
		f.store.Put(platformtest.OperatorTopic, "evacuate/"+name, value[:min(len(value), 1000)])
		f.store.Put(platformtest.StatusTopic, "rollout/"+name, value)
	}
	f.serveFor(3*time.Second, "/v1/x", func() { f.putTarget("ready"); putOddTargets() })
	for _, value := range plans {
		f.store.Put(platformtest.OperatorTopic, "config", value)
	}
	// A start time that no process has must not make what the target writes later count as late.
	f.store.Put(platformtest.TargetsTopic, "good", strings.Replace(f.target.RecordJSON("a", "east", f.address, "ready", f.heartbeats), `"born":1`, `"born":1e19`, 1))
	f.putTarget("ready")
	putOddTargets()
	f.startNode()
	f.serveFor(3*time.Second, "/v1/x", func() { f.putTarget("ready"); putOddTargets() })
	f.putPlan(2, "/v2/")
	for _, n := range f.nodes {
		f.waitFor("the plan after the odd ones", func() bool { return f.get(n.caller, "/v2/x") == http.StatusOK })
	}
	f.putTarget("draining")
	for _, n := range f.nodes {
		f.waitFor("the leaving target out of use", func() bool { return f.get(n.caller, "/v2/x") == http.StatusServiceUnavailable })
	}
	for i, n := range f.nodes {
		f.stop(i)
		counts := map[string]int{}
		for _, l := range n.lines() {
			if l.Event == "target-listed" && l.State == "unreadable" {
				counts[l.Target]++
			}
			if l.Event == "rollout-invalid" || l.Event == "plan-unreadable" {
				counts[l.Key]++
			}
			if l.Event == "peer-down" && strings.Contains(l.Reason, "decode") {
				t.Errorf("node %d: got a link that closed with %q, want none", i, l.Reason)
			}
		}
		checkLogCounts(t, i, counts, targets, orders, len(plans))
	}
}

// checkLogCounts checks that a node logged each odd entry once, by its key.
func checkLogCounts(t *testing.T, i int, counts map[string]int, targets, orders map[string]string, planCount int) {
	t.Helper()
	for name := range targets {
		if got := counts["odd-"+strings.ToValidUTF8(name, "\ufffd")]; got != 1 {
			t.Errorf("node %d: lines of target odd-%s: got %d, want 1", i, name, got)
		}
	}
	for name := range orders {
		if got := counts["rollout/"+name]; got != 1 {
			t.Errorf("node %d: lines of order %s: got %d, want 1", i, name, got)
		}
	}
	if got := counts["config"]; got > planCount {
		t.Errorf("node %d: lines of plans: got %d, want at most %d", i, got, planCount)
	}
}
