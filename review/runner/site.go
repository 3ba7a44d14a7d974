package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// Figures of a small deployment.
const (
	heartbeat    = 1500 * time.Millisecond
	addressReuse = 2 * time.Second
	graceSeconds = 6
	host         = "site.example"
	// lapseAfter is the number of heartbeats of silence after which the store removes an entry.
	lapseAfter = 3
)

var zones = []string{"howrah", "salkia", "behala"}

// site is a small deployment: a store, servers and entry nodes.
type site struct {
	program string
	dir     string
	record  *record
	store   *platformtest.Store
	address string

	mu       sync.Mutex
	nodes    []*node
	closers  []func()
	servers  []*server
	stopBeat context.CancelFunc
	// sentAt holds when clients have sent requests of tenants, and tenantRuns those that ran.
	sentAt     map[string]time.Time
	tenantRuns []tenantRun
	// targets holds the path and query with which each request has run.
	targets map[string]string
	// links, if set, carry the traffic between nodes.
	links *links
}

// newSite starts the store.
func newSite(program string, rec *record) (*site, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{program: program, dir: dir, record: rec, store: &platformtest.Store{}}
	address, closeStore, err := platformtest.StartServer(s.store)
	if err != nil {
		return nil, err
	}
	s.address = address
	s.closers = append(s.closers, closeStore)
	ctx, cancel := context.WithCancel(context.Background())
	s.stopBeat = cancel
	go s.expireEntries(ctx)
	return s, nil
}

// close ends all processes and stand-ins.
func (s *site) close() {
	s.stopBeat()
	for _, n := range s.nodes {
		n.kill()
	}
	for _, v := range s.servers {
		v.end()
	}
	for _, c := range s.closers {
		c()
	}
	if s.links != nil {
		s.links.close()
	}
	os.RemoveAll(s.dir)
}

// expireEntries removes the entries of servers that were silent for three heartbeats.
func (s *site) expireEntries(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(heartbeat / 10)
		s.mu.Lock()
		servers := s.servers
		s.mu.Unlock()
		for _, v := range servers {
			v.expireIfSilent()
		}
	}
}

// node is an entry node, run as a process.
type node struct {
	name, zone            string
	callers, readiness    string
	settingsPath, logPath string
	program               string
	ip                    string
	internalPorts         [2]int
	// args are the arguments of the program after the command.
	args  []string
	cmd   *exec.Cmd
	ended chan struct{}
}

// addNode starts an entry node in a zone, with the command of the deploy file.
func (s *site) addNode(zone string) (*node, error) {
	i := len(s.nodes)
	n := &node{name: fmt.Sprint("front-", zone, "-", i), zone: zone, program: s.program, ip: fmt.Sprint("127.1.2.", 1+i)}
	var ports [4]int
	for j := range ports {
		p, err := platformtest.FreePort(n.ip)
		if err != nil {
			return nil, err
		}
		ports[j] = p
	}
	n.callers, n.readiness = fmt.Sprint(n.ip, ":", ports[0]), fmt.Sprint(n.ip, ":", ports[1])
	n.internalPorts = [2]int{min(ports[2], ports[3]), max(ports[2], ports[3])}
	if s.links != nil {
		e, err := s.links.add(n)
		if err != nil {
			return nil, err
		}
		n.args = []string{"--advertise", e.address()}
	}
	n.settingsPath, n.logPath = filepath.Join(s.dir, n.name+".yaml"), filepath.Join(s.dir, n.name+".log")
	if err := n.writeSettings(s.address, true); err != nil {
		return nil, err
	}
	s.nodes = append(s.nodes, n)
	return n, n.start()
}

func (n *node) writeSettings(store string, isFirst bool) error {
	v := platformtest.VMSettings{
		Name: n.name, IP: n.ip, Zone: n.zone, CallersAddress: n.callers, ReadinessAddress: n.readiness, StoreAddress: store,
		FirstInternalPort: n.internalPorts[0], LastInternalPort: n.internalPorts[1], IsFirstStart: isFirst, GraceSeconds: graceSeconds,
	}
	return os.WriteFile(n.settingsPath, []byte(v.YAML()), 0o600)
}

func (n *node) start() error {
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	n.cmd = exec.Command(n.program, append([]string{"platform"}, n.args...)...)
	n.cmd.Env = append(os.Environ(), "APRICOTMOUNT_NODE_FILE="+n.settingsPath)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.ended = ended
	cmd := n.cmd
	go func() {
		// The status of the process does not matter.
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the process of the node.
func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGCONT)
	_ = n.cmd.Process.Kill()
	<-n.ended
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + n.readiness + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (s *site) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		ready := 0
		for _, n := range s.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(s.nodes) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
		if time.Since(s.record.start) > 30*time.Second {
			break
		}
	}
	return errors.New("the nodes did not become ready")
}

// route is a route of a configuration.
type route struct {
	prefix, kind, service  string
	timeoutMs, objectiveMs int
}

// tenant is a tenant of a configuration, with one key.
type tenant struct {
	name, key   string
	rate, burst int
}

// publish writes a configuration to the store.
func (s *site) publish(version int, services []string, routes []route, tenants ...tenant) {
	var svc, paths []string
	for _, name := range services {
		svc = append(svc, fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConns":220,"warmupS":3,"warmupPerS":6.2}`, name))
	}
	for i, r := range routes {
		paths = append(paths, fmt.Sprintf(`{"name":"r-%d","pathPrefix":%q,"routeType":%q,"timeoutMs":%d,"targetLatencyMs":%d,"priority":1,"service":%q,"maxAttempts":2}`,
			i, r.prefix, r.kind, r.timeoutMs, r.objectiveMs, r.service))
	}
	list := ""
	for i, t := range tenants {
		if i == 0 {
			list = `"tenants":[`
		} else {
			list += ","
		}
		list += fmt.Sprintf(`{"name":%q,"apiKeys":[%q],"priority":1,"ratePerS":%d,"burst":%d}`, t.name, t.key, t.rate, t.burst)
	}
	if list != "" {
		list += "],"
	}
	s.store.Put(platformtest.OperatorTopic, "config", fmt.Sprintf(
		`{"version":%d,"services":[%s],%s"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000},"hosts":[{"host":%q,"paths":[%s]}]}`,
		version, strings.Join(svc, ","), list, host, strings.Join(paths, ",")))
	s.record.note("configuration %d is acknowledged", version)
}
