package abuse

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/platform"
	"github.com/apricotmount/apricotmount/platform/platformtest"
)

var runAbuse = flag.Bool("abuse", false, "run the tests with clients that do not behave")

// The limits of the process under test, those of the plan, and the size of the crowds.
const (
	memoryMB = 96
	// standaloneMB is the memory of a node with the settings of the project.
	standaloneMB   = 256
	maxFDs         = 4100
	fewFDs         = 600
	maxHeaderBytes = 16384
	graceSeconds   = 6
	crowdSize      = 200
	largeCrowdSize = 600
	smallCrowdSize = 40
	silentSize     = 800
	// targetSlots is the number of calls that a target runs at a time.
	targetSlots = 300
)

// answerTimeout is when an ordinary request counts as unanswered, and holdTime how long a crowd
// stays once it has sent everything.
const (
	answerTimeout = 20 * time.Second
	holdTime      = 2 * time.Second
)

// ordinaryPath and readinessPath are the paths of ordinary requests and of readiness checks.
const (
	ordinaryPath  = "/quick/x"
	readinessPath = "/ready"
)

// binDir is the directory of the programs under test.
var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "abuse")
	if err == nil {
		binDir = dir
		code := m.Run()
		os.RemoveAll(dir)
		os.Exit(code)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// build builds the program with the build tags and returns its path.
func build(t *testing.T, tags string) string {
	t.Helper()
	path := filepath.Join(binDir, "apricotmount-"+tags)
	if _, err := os.Stat(path); err == nil {
		return path
	}
	out, err := exec.Command("go", "build", "-tags", tags, "-o", path, "github.com/apricotmount/apricotmount/cmd/apricotmount").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// node is a node that runs as a process, with a store and three services: requests to /slow/ take a
// second, those to /quick/ a millisecond, and the answers to those to /odd/ are those of answers_test.go.
type node struct {
	t     *testing.T
	store *platformtest.Store
	// storeFails makes the store answer without end.
	storeFails atomic.Bool
	process    *exec.Cmd
	log        bytes.Buffer
	// logFile, if set, gets the standard output.
	logFile io.Writer
	ended   chan error
	// callers, readiness, peers and metrics are the addresses of its ports.
	callers, readiness, peers, metrics string
	settingsPath                       string
	// memoryMB is the memory that the process may take.
	memoryMB int
}

// unreadLog returns a pipe that nobody reads.
func unreadLog(t *testing.T) io.Writer {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Close()
		w.Close()
	})
	return w
}

// plan returns a plan with limits for heads.
func plan(version, headerBytes int) string {
	return fmt.Sprintf(`{"version":%d,"services":[{"name":"a","healthPath":"/health","maxConns":500,"warmupS":1,"warmupPerS":9},{"name":"b","healthPath":"/health","maxConns":500,"warmupS":1,"warmupPerS":9},{"name":"c","healthPath":"/health","maxConns":5000,"warmupS":1,"warmupPerS":9}],
"limits":{"maxHeaderBytes":%d,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":60000},"hosts":[{"host":"h.example","paths":[
{"name":"slow","pathPrefix":"/slow/","routeType":"safe","timeoutMs":4000,"targetLatencyMs":2000,"priority":1,"service":"a","maxAttempts":2},
{"name":"quick","pathPrefix":"/quick/","routeType":"safe","timeoutMs":9000,"targetLatencyMs":2000,"priority":0,"service":"b","maxAttempts":2},
{"name":"odd","pathPrefix":"/odd/","routeType":"safe","timeoutMs":4000,"targetLatencyMs":2000,"priority":1,"service":"c","maxAttempts":1}]}]}`, version, headerBytes)
}

// startNode starts a node with a limit of descriptors and waits until it serves.
func startNode(t *testing.T, fds int) *node { return startLoggingNode(t, fds, nil) }

// startLoggingNode is as startNode; the node writes its log to a file, if that is set.
func startLoggingNode(t *testing.T, fds int, log io.Writer) *node {
	t.Helper()
	if !*runAbuse {
		t.Skip("runs alone, with -abuse: it measures the memory of processes")
	}
	n := &node{t: t, logFile: log, store: &platformtest.Store{}, ended: make(chan error, 1), memoryMB: memoryMB}
	n.store.Put(platformtest.OperatorTopic, "config", plan(1, maxHeaderBytes))
	n.addTarget("a", time.Second, nil)
	n.addTarget("b", time.Millisecond, nil)
	n.addTarget("c", time.Millisecond, answerOddly)
	var ports [4]int
	for i := range ports {
		port, err := platformtest.FreePort("127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		ports[i] = port
	}
	address := func(i int) string { return fmt.Sprint("127.0.0.1:", ports[i]) }
	n.callers, n.readiness, n.peers, n.metrics = address(0), address(1), address(2), address(3)
	settings := platformtest.VMSettings{
		Name: "node", IP: "127.0.0.1", Zone: "east", CallersAddress: n.callers, ReadinessAddress: n.readiness, StoreAddress: listen(t, failingServer{n.store, &n.storeFails}),
		FirstInternalPort: ports[2], LastInternalPort: ports[3], GraceSeconds: graceSeconds,
	}
	text := settings.YAML() + fmt.Sprintf("limits: {memoryMb: %d, maxFds: %d}\n", memoryMB, fds)
	n.settingsPath = filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(n.settingsPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	n.run(fds, build(t, "platform"), "platform")
	n.waitFor("a ready node", func() bool { return n.get(n.readiness, readinessPath) == http.StatusOK })
	n.waitFor("calls that are served", func() bool {
		return n.get(n.callers, ordinaryPath) == http.StatusOK && n.get(n.callers, "/slow/x") == http.StatusOK
	})
	return n
}

// run starts the process.
func (n *node) run(fds int, command ...string) {
	n.t.Helper()
	args := append([]string{"-c", `ulimit -n "$1" && shift && exec "$@"`, "sh", strconv.Itoa(fds)}, command...)
	n.process = exec.Command("sh", args...)
	n.process.Env = append(os.Environ(), platform.SettingsPathEnv+"="+n.settingsPath)
	n.process.Stdout, n.process.Stderr = &n.log, &n.log
	if n.logFile != nil {
		n.process.Stdout = n.logFile
	}
	if err := n.process.Start(); err != nil {
		n.t.Fatal(err)
	}
	go func() { n.ended <- n.process.Wait() }()
	n.t.Cleanup(func() { n.process.Process.Kill() })
}

func listen(t *testing.T, h http.Handler) (address string) {
	t.Helper()
	address, closeServer, err := platformtest.StartServer(h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeServer)
	return address
}

// addTarget starts a target of a service and lists it in the store. Calls are answered by serve, if
// that is set.
func (n *node) addTarget(service string, callDuration time.Duration, serve http.HandlerFunc) {
	id := "target-" + service
	target := &platformtest.Target{ID: id, Slots: targetSlots, WarmCallDuration: callDuration}
	address := listen(n.t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if serve != nil && r.URL.Path != "/health" {
			serve(w, r)
			return
		}
		target.ServeHTTP(w, r)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	n.t.Cleanup(cancel)
	put := func(sequence int) {
		n.store.Put(platformtest.TargetsTopic, id, target.RecordJSON(service, "east", address, "ready", sequence))
	}
	put(1)
	go func() {
		for sequence := 2; ctx.Err() == nil; sequence++ {
			time.Sleep(time.Second)
			put(sequence)
		}
	}()
}

func (n *node) waitFor(what string, condition func() bool) {
	n.t.Helper()
	for deadline := time.Now().Add(answerTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			n.t.Fatalf("%s: condition not met within %s", what, answerTimeout)
		}
	}
}

// get sends an ordinary request over a new connection and returns the status of the response, or
// zero if there is none.
func (n *node) get(address, path string) (status int) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	platformtest.SetRequestHeaders(req.Header, fmt.Sprint("id-", time.Now().UnixNano()), answerTimeout)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.t.Helper()
	if err := n.process.Process.Signal(s); err != nil {
		n.t.Fatalf("send %s: got %v, want a process that runs", s, err)
	}
}

// checkAlive checks that the process runs, is within its limits and answers an ordinary request.
func (n *node) checkAlive(fds int) {
	n.t.Helper()
	if got := n.get(n.callers, ordinaryPath); got != http.StatusOK {
		n.t.Errorf("ordinary request: got status %d, want 200", got)
	}
	if got := n.get(n.readiness, readinessPath); got != http.StatusOK {
		n.t.Errorf("readiness check: got status %d, want 200", got)
	}
	n.checkLimits(fds)
}

// checkLimits checks that the process runs and is within its memory and descriptors.
func (n *node) checkLimits(fds int) {
	n.t.Helper()
	select {
	case err := <-n.ended:
		n.t.Fatalf("process: got an end (%v), want it to run; end of its log:\n%s", err, n.log.Bytes()[max(0, n.log.Len()-2000):])
	default:
	}
	if peakKB := n.peakKB(); peakKB == 0 || peakKB > n.memoryMB<<10 {
		n.t.Errorf("peak memory: got %d KB, want at most %d", peakKB, n.memoryMB<<10)
	} else {
		n.t.Logf("peak memory: %d KB", peakKB)
	}
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.Process.Pid))
	if err != nil || len(entries) > fds {
		n.t.Errorf("open descriptors: got %d (%v), want at most %d", len(entries), err, fds)
	}
}

// peakKB returns the most memory that the process has had in use, in KB; zero if it has ended.
func (n *node) peakKB() (kb int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ = strconv.Atoi(strings.Fields(value)[0])
		}
	}
	return kb
}
