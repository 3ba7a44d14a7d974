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
	name, zone string
	host       string
	settings   Settings
	account    *account
	file, log  string
	callers    string
	ready      string
	ports      [2]int
	// store leads to the store, and peers from other nodes to this one.
	store, peers *proxy

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
	// disturbed is when the node was last stopped, paused or cut off.
	disturbed time.Time
	// starts counts the processes, and holds is the newest configuration that the
	// present one was seen to hold, by its place.
	starts, holds int
	// stopped is when the last planned stop began, and killed when the node was last
	// killed or paused.
	stopped, killed time.Time
}

func newNode(i int, zone, store string, s Settings, a *account) (n *node, err error) {
	host := fmt.Sprint("127.1.1.", 1+i%hostSpan)
	n = &node{name: fmt.Sprint("node-", i), host: host, zone: zone, settings: s, account: a}
	n.file, n.log = filepath.Join(s.Dir, n.name+".yaml"), filepath.Join(s.Dir, n.name+".log")
	var ports [4]int
	for j := range ports {
		if ports[j], err = platformtest.FreePort(host); err != nil {
			return nil, err
		}
	}
	n.callers, n.ready = fmt.Sprint(host, ":", ports[0]), fmt.Sprint(host, ":", ports[1])
	n.ports = [2]int{min(ports[2], ports[3]), max(ports[2], ports[3])}
	if n.store, err = newProxy(store); err != nil {
		return nil, err
	}
	if n.peers, err = newProxy(fmt.Sprint(host, ":", n.ports[0])); err != nil {
		return nil, err
	}
	return n, n.write(true)
}

// hostSpan is how many loopback addresses the nodes are spread over.
const hostSpan = 250

// grace is the time between the signal to stop and the kill, in seconds.
const grace = 4

// write writes the node's settings file.
func (n *node) write(first bool) error {
	v := platformtest.VMSettings{
		Name: n.name, IP: n.host, Zone: n.zone, CallersAddress: n.callers, ReadinessAddress: n.ready, StoreAddress: n.store.address(),
		FirstInternalPort: n.ports[0], LastInternalPort: n.ports[1], IsFirstStart: first, GraceSeconds: grace,
	}
	return os.WriteFile(n.file, []byte(v.YAML()), 0o600)
}

// start starts the process, which appends to the node's log.
func (n *node) start() (err error) {
	defer func() { err = eris.Wrapf(err, "start %s", n.name) }()
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	args := append([]string{n.settings.Program}, n.settings.Args...)
	args = append(args, "--advertise", n.peers.address())
	p, err := os.StartProcess(n.settings.Program, args, &os.ProcAttr{
		Env:   append(os.Environ(), platform.SettingsPathEnv+"="+n.file),
		Files: []*os.File{nil, out, out},
	})
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	ended := make(chan struct{})
	n.process, n.ended = p, ended
	n.starts++
	n.holds = 0
	go func() {
		defer close(ended)
		n.wait(p, time.Now())
	}()
	return nil
}

// wait waits for the end of a process, which must be a planned stop or a kill.
func (n *node) wait(p *os.Process, began time.Time) {
	state, err := p.Wait()
	if err != nil {
		n.account.broken("soak", "wait for %s: %v", n.name, err)
		return
	}
	n.mu.Lock()
	planned := n.stopped.After(began)
	n.mu.Unlock()
	if state.Exited() && (state.ExitCode() != 0 || !planned) {
		n.account.broken("stays-up", "%s ended by itself with status %d; it logged last:\n%s", n.name, state.ExitCode(), n.tail())
	}
}

// held returns the newest configuration that the present process was seen to hold.
func (n *node) held() (start, configuration int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts, n.holds
}

// saw notes that a process held a configuration.
func (n *node) saw(start, configuration int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if start == n.starts {
		n.holds = max(n.holds, configuration)
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

func (n *node) disturb(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbed = at
}

// stop begins a planned stop with the signal for it.
func (n *node) stop() {
	n.mu.Lock()
	n.stopped = time.Now()
	n.mu.Unlock()
	n.signal(cmp.Or(n.settings.StopSignal, syscall.SIGTERM))
}

// kill notes a disturbance that may cut calls, and sends its signal.
func (n *node) kill(s syscall.Signal) {
	n.mu.Lock()
	n.killed = time.Now()
	n.mu.Unlock()
	n.disturb(time.Now())
	n.signal(s)
}

// stoppedSince reports whether a planned stop was under way between a time and now,
// and nothing else could cut calls meanwhile.
func (n *node) stoppedSince(began time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return began.Sub(n.stopped) < 2*grace*time.Second && n.killed.Before(began) && !n.stopped.Before(n.killed)
}

// calm reports whether the node was left alone for a while.
func (n *node) calm(now time.Time, span time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Sub(n.disturbed) > span
}

// await waits until the process has ended, or kills it and reports that it had to.
func (n *node) await(patience time.Duration) (killed bool) {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
		return false
	case <-time.After(patience):
		n.kill(syscall.SIGKILL)
		<-ended
		return true
	}
}

// hasEnded reports whether the node's process is gone.
func (n *node) hasEnded() bool {
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
const tailLength = 4 << 10

// tail returns the end of the node's log.
func (n *node) tail() string {
	b, err := os.ReadFile(n.log)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-tailLength):])
}

// isReady asks the node whether it wants work.
func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + n.ready + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
