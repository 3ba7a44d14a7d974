package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/platform"
	"github.com/apricotmount/apricotmount/platform/platformtest"
	"github.com/apricotmount/apricotmount/replyconn"
)

// node is one entry node, run as a process of its own.
type node struct {
	name, zone            string
	host                  string
	settings              Settings
	recorder              *recorder
	settingsPath, logPath string
	callerAddress         string
	readinessAddress      string
	internalPorts         [2]int
	// storeProxy forwards from this node to the store, peerProxy from other nodes to
	// this one.
	storeProxy, peerProxy *platformtest.Proxy

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
	// disturbedAt is when the node was last killed, stopped or paused, or a fault of
	// its links began or ended.
	disturbedAt time.Time
	// startCount is the number of processes started. newestHeld is the index of the
	// newest configuration that the current process was observed to hold.
	startCount, newestHeld int
	// stoppedAt is when the last planned stop began, and killedAt when the node was
	// last killed or paused.
	stoppedAt, killedAt time.Time
}

func newNode(i int, zone, store string, s Settings, rec *recorder) (n *node, err error) {
	host := fmt.Sprint("127.1.1.", 1+i%hostCount)
	n = &node{name: fmt.Sprint("node-", i), host: host, zone: zone, settings: s, recorder: rec}
	n.settingsPath, n.logPath = filepath.Join(s.Dir, n.name+".yaml"), filepath.Join(s.Dir, n.name+".log")
	var ports [4]int
	for j := range ports {
		if ports[j], err = platformtest.FreePort(host); err != nil {
			return nil, err
		}
	}
	n.callerAddress, n.readinessAddress = fmt.Sprint(host, ":", ports[0]), fmt.Sprint(host, ":", ports[1])
	n.internalPorts = [2]int{min(ports[2], ports[3]), max(ports[2], ports[3])}
	if n.storeProxy, err = platformtest.NewProxy(store); err != nil {
		return nil, err
	}
	if n.peerProxy, err = platformtest.NewProxy(fmt.Sprint(host, ":", n.internalPorts[0])); err != nil {
		return nil, err
	}
	return n, n.writeSettings(true)
}

// hostCount is the number of loopback addresses over which the nodes are spread.
const hostCount = 250

// graceSeconds is the grace period of a planned stop in the nodes' settings, in seconds.
// The harness kills a node that has not exited after twice that time.
const graceSeconds = 4

// writeSettings writes the node's settings file.
func (n *node) writeSettings(first bool) error {
	v := platformtest.VMSettings{
		Name: n.name, IP: n.host, Zone: n.zone, CallersAddress: n.callerAddress, ReadinessAddress: n.readinessAddress, StoreAddress: n.storeProxy.Address(),
		FirstInternalPort: n.internalPorts[0], LastInternalPort: n.internalPorts[1], IsFirstStart: first, GraceSeconds: graceSeconds,
	}
	return os.WriteFile(n.settingsPath, []byte(v.YAML()), 0o600)
}

// start starts the process, whose output is appended to the node's log file.
func (n *node) start() (err error) {
	defer func() { err = eris.Wrapf(err, "start %s", n.name) }()
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	args := append([]string{n.settings.Program}, n.settings.Args...)
	args = append(args, "--advertise", n.peerProxy.Address())
	p, err := os.StartProcess(n.settings.Program, args, &os.ProcAttr{
		Env:   append(os.Environ(), platform.SettingsPathEnv+"="+n.settingsPath),
		Files: []*os.File{nil, out, out},
	})
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	ended := make(chan struct{})
	n.process, n.ended = p, ended
	n.startCount++
	n.newestHeld = 0
	go func() {
		defer close(ended)
		n.supervise(p, time.Now())
	}()
	return nil
}

// supervise waits for a process to exit, and records a finding if the exit was neither
// a planned stop with status 0 nor a kill.
func (n *node) supervise(p *os.Process, startedAt time.Time) {
	state, err := p.Wait()
	if err != nil {
		n.recorder.addFinding("soak", "wait for %s: %v", n.name, err)
		return
	}
	n.mu.Lock()
	planned := n.stoppedAt.After(startedAt)
	n.mu.Unlock()
	if state.Exited() && (state.ExitCode() != 0 || !planned) {
		n.recorder.addFinding("stays-up", "%s exited unexpectedly with status %d; end of its log:\n%s", n.name, state.ExitCode(), n.logTail())
	}
}

// heldConfig returns the start count, which identifies the current process, and the
// index of the newest configuration that this process was observed to hold.
func (n *node) heldConfig() (startCount, configuration int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startCount, n.newestHeld
}

// recordHeld records that the process with a start count held a configuration. It has
// no effect if the node was restarted since.
func (n *node) recordHeld(startCount, configuration int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if startCount == n.startCount {
		n.newestHeld = max(n.newestHeld, configuration)
	}
}

// signal sends a signal to the node's current process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	// The error only means that the process has exited.
	_ = n.process.Signal(s)
}

func (n *node) recordDisturbance(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbedAt = at
}

// stop begins a planned stop by sending the stop signal.
func (n *node) stop() {
	n.mu.Lock()
	n.stoppedAt = time.Now()
	n.mu.Unlock()
	n.signal(cmp.Or(n.settings.StopSignal, syscall.SIGTERM))
}

// disrupt sends a signal that may cut calls off, and records the disturbance.
func (n *node) disrupt(s syscall.Signal) {
	n.mu.Lock()
	n.killedAt = time.Now()
	n.mu.Unlock()
	n.recordDisturbance(time.Now())
	n.signal(s)
}

// stoppedSince reports whether a planned stop may have cut off a call that was sent at
// since: the stop began later, or less than 2*graceSeconds earlier, and the last kill or
// pause came before both.
func (n *node) stoppedSince(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return since.Sub(n.stoppedAt) < 2*graceSeconds*time.Second && n.killedAt.Before(since) && !n.stoppedAt.Before(n.killedAt)
}

// undisturbedFor reports whether the last disturbance was longer ago than span.
func (n *node) undisturbedFor(now time.Time, span time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Sub(n.disturbedAt) > span
}

// awaitExit waits until the process has exited. After the timeout it kills the process
// and returns true.
func (n *node) awaitExit(timeout time.Duration) (killed bool) {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
		return false
	case <-time.After(timeout):
		n.disrupt(syscall.SIGKILL)
		<-ended
		return true
	}
}

// hasExited reports whether the node's process has exited.
func (n *node) hasExited() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// logTailBytes is how much of a node's log is shown for a failed run, in bytes.
const logTailBytes = 4 << 10

// logTail returns the end of the node's log.
func (n *node) logTail() string {
	b, err := os.ReadFile(n.logPath)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-logTailBytes):])
}

// isReady reports whether the node's readiness endpoint returns 200.
func (n *node) isReady() bool {
	client := http.Client{Transport: replyconn.Client.Transport, Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + n.readinessAddress + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
