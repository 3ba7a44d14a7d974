package main

import (
	"fmt"
	"net"
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

// Bounds of the deployment, from the sheet of ascentral-gw-grown.
const (
	graceSeconds = 6
	grace        = graceSeconds * time.Second
	contactTime  = 3 * time.Second
	heartbeat    = 1500 * time.Millisecond
)

// zones are the availability zones of the deployment.
var zones = []string{"poa", "cwb", "fln"}

// host is the Host header of all requests.
const host = "chamados.example"

// site is a small deployment: the platform's store, servers and the processes under test.
type site struct {
	dir       string
	program   string
	store     *platformtest.Store
	address   string // of the store
	record    *record
	nodes     []*node
	servers   []*server
	closers   []func()
	stop      chan struct{}
	beats     sync.WaitGroup
	closeOnce sync.Once
}

// newSite starts the store.
func newSite(program string, rec *record) (s *site, err error) {
	dir, err := os.MkdirTemp("", "apricotmount-review-")
	if err != nil {
		return nil, err
	}
	s = &site{dir: dir, program: program, store: &platformtest.Store{}, record: rec, stop: make(chan struct{})}
	address, closeStore, err := platformtest.StartServer(s.store)
	if err != nil {
		return nil, err
	}
	s.address = address
	s.closers = append(s.closers, closeStore)
	return s, nil
}

// publish writes a configuration as the operator does.
func (s *site) publish(configuration string) {
	s.store.Put(platformtest.OperatorTopic, "config", configuration)
}

// route returns a route of the configuration as JSON.
func route(name, prefix, routeType, service string, timeoutMs, objectiveMs, attempts int) string {
	return fmt.Sprintf(`{"name":%q,"pathPrefix":%q,"routeType":%q,"timeoutMs":%d,"targetLatencyMs":%d,"priority":2,"service":%q,"maxAttempts":%d}`,
		name, prefix, routeType, timeoutMs, objectiveMs, service, attempts)
}

// configuration returns a configuration as JSON.
func configuration(version int, services []string, routes ...string) string {
	var list []string
	for _, name := range services {
		list = append(list, fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConns":860,"warmupS":3,"warmupPerS":6}`, name))
	}
	return fmt.Sprintf(`{"version":%d,"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":2097152,"headerTimeoutMs":5000,"idleTimeoutMs":15000},"hosts":[{"host":%q,"paths":[%s]}]}`,
		version, strings.Join(list, ","), host, strings.Join(routes, ","))
}

// node is one process under test.
type node struct {
	site                *site
	name, zone          string
	settingsPath        string
	front, readiness    string
	logPath             string
	mu                  sync.Mutex
	cmd                 *exec.Cmd
	ended               chan struct{}
	stoppedAt, exitedAt time.Time
	exitText            string
}

// startNodes starts n processes, spread over the zones, and waits until all are ready.
func (s *site) startNodes(n int) error {
	for i := range n {
		nd := &node{site: s, name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)]}
		if err := nd.writeSettings(true); err != nil {
			return err
		}
		s.nodes = append(s.nodes, nd)
		if err := nd.start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, nd := range s.nodes {
			if nd.isReady() {
				ready++
			}
		}
		if ready == n {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d processes are ready", ready, n)
		}
	}
}

// writeSettings writes the settings file of a node, with free ports at the first call.
func (n *node) writeSettings(first bool) error {
	var ports [4]int
	for i := range ports {
		p, err := platformtest.FreePort("127.0.0.1")
		if err != nil {
			return err
		}
		ports[i] = p
	}
	n.front, n.readiness = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
	n.settingsPath = filepath.Join(n.site.dir, n.name+".yaml")
	n.logPath = filepath.Join(n.site.dir, n.name+".log")
	text := fmt.Sprintf(`nodeName: %q
role: "entry"
machineClass: "front"
serves: ["front"]
ip: "127.0.0.1"
zone: %q
region: "sul"
zones: {poa: "sul", cwb: "sul", fln: "sul"}
listen: {front: %q, readinessAddr: %q}
internalPorts: [%d, %d]
bootstrap: %v
limits: {cpuShare: 0.32, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
heartbeatMs: 1500
bounds: {seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: 5000, catchUpS: 6, drainMs: 2500, graceS: %d, lossSlackMs: 200, configApplyMs: 2500, downgradeSlackMs: 250, maxStretchMs: 5000, retryBudgetRatio: 0.2, retryWindowS: 10, retrySlack: 162, warmupOverage: 1.5, warmupSlack: 8, evacuateMs: 5000, recoveryS: 15, probesPerS: 42}
platform: {address: %q, form: "log", writesPerS: 1200, readsPerS: 6000, parts: 12, appendMs: 2.0, partitionMbS: 20.0, readMbS: 80.0, recordBytes: 262144, callBytes: 2097152, keep_s: 300, partMb: 200, minTtlMs: 1000}
`, n.name, n.zone, n.front, n.readiness, min(ports[2], ports[3]), max(ports[2], ports[3]), first, graceSeconds, n.site.address)
	return os.WriteFile(n.settingsPath, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(n.site.program, "platform")
	cmd.Env = append(os.Environ(), "APRICOTMOUNT_NODE_FILE="+n.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended = cmd, ended
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		n.exitedAt, n.exitText = time.Now(), fmt.Sprint(err)
		n.mu.Unlock()
		n.site.record.addf("%s ends: %v", n.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process that this program has started.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig)
	}
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the grace time.
func (n *node) terminate() {
	n.mu.Lock()
	n.stoppedAt = time.Now()
	ended := n.ended
	n.mu.Unlock()
	n.site.record.addf("%s gets SIGTERM", n.name)
	n.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		n.site.record.addf("%s gets SIGKILL", n.name)
		n.signal(syscall.SIGKILL)
		<-ended
	}
}

var readinessClient = &http.Client{Timeout: 500 * time.Millisecond}

// isReady asks the process as the platform does.
func (n *node) isReady() bool {
	resp, err := readinessClient.Get("http://" + n.readiness + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// serve starts an HTTP server on a free loopback port.
func serve(h http.Handler) (l net.Listener, srv *http.Server, err error) {
	l, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	srv = &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	return l, srv, nil
}

// close ends everything that the site has started, once.
func (s *site) close() { s.closeOnce.Do(s.closeAll) }

func (s *site) closeAll() {
	close(s.stop)
	s.beats.Wait()
	for _, n := range s.nodes {
		n.mu.Lock()
		ended := n.ended
		n.mu.Unlock()
		if ended == nil {
			continue
		}
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-ended
	}
	for _, c := range s.closers {
		c()
	}
	_ = os.RemoveAll(s.dir)
}
