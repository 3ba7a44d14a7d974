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
)

// node is one entry node as a process.
type node struct {
	name, zone            string
	host                  string
	settings              Settings
	recorder              *recorder
	settingsPath, logPath string
	callerAddress         string
	readinessAddress      string
	innerPorts            [2]int
	// store leads to the store, and peers from other nodes to this one.
	storeProxy, peerProxy *proxy

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
	// disturbed is when the node was last stopped, paused or cut off.
	disturbedAt time.Time
	// starts counts the processes, and holds is the newest configuration that the
	// present one was seen to hold, by its place.
	startCount, newestHeld int
	// stopped is when the last planned stop began, and killed when the node was last
	// killed or paused.
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
	n.innerPorts = [2]int{min(ports[2], ports[3]), max(ports[2], ports[3])}
	if n.storeProxy, err = newProxy(store); err != nil {
		return nil, err
	}
	if n.peerProxy, err = newProxy(fmt.Sprint(host, ":", n.innerPorts[0])); err != nil {
		return nil, err
	}
	return n, n.writeSettings(true)
}

// hostSpan is how many loopback addresses the nodes are spread over.
const hostCount = 250

// grace is the time between the signal to stop and the kill, in seconds.
const graceSeconds = 4

// write writes the node's settings file.
func (n *node) writeSettings(first bool) error {
	v := platformtest.VM{
		Name: n.name, IP: n.host, Zone: n.zone, Callers: n.callerAddress, Readiness: n.readinessAddress, Store: n.storeProxy.address(),
		FirstInnerPort: n.innerPorts[0], LastInnerPort: n.innerPorts[1], FirstStart: first, Grace: graceSeconds,
	}
	return os.WriteFile(n.settingsPath, []byte(v.Settings()), 0o600)
}

// start starts the process, which appends to the node's log.
func (n *node) start() (err error) {
	defer func() { err = eris.Wrapf(err, "start %s", n.name) }()
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	args := append([]string{n.settings.Program}, n.settings.Args...)
	args = append(args, "--advertise", n.peerProxy.address())
	p, err := os.StartProcess(n.settings.Program, args, &os.ProcAttr{
		Env:   append(os.Environ(), platform.SettingsVariable+"="+n.settingsPath),
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

// wait waits for the end of a process, which must be a planned stop or a kill.
func (n *node) supervise(p *os.Process, began time.Time) {
	state, err := p.Wait()
	if err != nil {
		n.recorder.addFinding("soak", "wait for %s: %v", n.name, err)
		return
	}
	n.mu.Lock()
	planned := n.stoppedAt.After(began)
	n.mu.Unlock()
	if state.Exited() && (state.ExitCode() != 0 || !planned) {
		n.recorder.addFinding("stays-up", "%s ended by itself with status %d; it logged last:\n%s", n.name, state.ExitCode(), n.logTail())
	}
}

// held returns the newest configuration that the present process was seen to hold.
func (n *node) heldConfig() (start, configuration int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startCount, n.newestHeld
}

// saw notes that a process held a configuration.
func (n *node) recordHeld(start, configuration int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if start == n.startCount {
		n.newestHeld = max(n.newestHeld, configuration)
	}
}

// signal sends a signal to the node's own process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	// A process that has ended needs no signal.
	_ = n.process.Signal(s)
}

func (n *node) recordDisturbance(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbedAt = at
}

// stop begins a planned stop with the signal for it.
func (n *node) stop() {
	n.mu.Lock()
	n.stoppedAt = time.Now()
	n.mu.Unlock()
	n.signal(cmp.Or(n.settings.StopSignal, syscall.SIGTERM))
}

// kill notes a disturbance that may cut calls, and sends its signal.
func (n *node) disrupt(s syscall.Signal) {
	n.mu.Lock()
	n.killedAt = time.Now()
	n.mu.Unlock()
	n.recordDisturbance(time.Now())
	n.signal(s)
}

// stoppedSince reports whether a planned stop was under way between a time and now,
// and nothing else could cut calls meanwhile.
func (n *node) stoppedSince(began time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return began.Sub(n.stoppedAt) < 2*graceSeconds*time.Second && n.killedAt.Before(began) && !n.stoppedAt.Before(n.killedAt)
}

// calm reports whether the node was left alone for a while.
func (n *node) undisturbedFor(now time.Time, span time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Sub(n.disturbedAt) > span
}

// await waits until the process has ended, or kills it and reports that it had to.
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

// hasEnded reports whether the node's process is gone.
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

// tailLength is how much of a node's log a failed run shows, in bytes.
const logTailBytes = 4 << 10

// tail returns the end of the node's log.
func (n *node) logTail() string {
	b, err := os.ReadFile(n.logPath)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-logTailBytes):])
}

// isReady asks the node whether it wants work.
func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + n.readinessAddress + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
