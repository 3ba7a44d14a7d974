package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// program is the program that the deploy file starts, from the repository's root.
const program = "target/bin/apricotmount"

// answerTimeout bounds the wait for the answers of a connection.
const answerTimeout = 20 * time.Second

// zones are the zones of a yard.
var zones = []string{"howrah", "salkia", "behala"}

// yard is a small deployment: a store, servers and entry nodes.
type yard struct {
	record  *record
	dir     string
	store   *platformtest.Store
	address string
	closers []func()
	servers []*server
	nodes   []*node
	beats   sync.WaitGroup
}

// newYard starts the store.
func newYard(rec *record) (y *yard, err error) {
	y = &yard{record: rec, store: &platformtest.Store{}}
	if y.dir, err = os.MkdirTemp("", "review-yard-"); err != nil {
		return nil, err
	}
	address, closeStore, err := platformtest.StartServer(y.store)
	if err != nil {
		return nil, err
	}
	y.address = address
	y.closers = append(y.closers, closeStore)
	return y, nil
}

// close ends all processes and stand-ins.
func (y *yard) close() {
	for _, n := range y.nodes {
		n.kill()
	}
	for _, c := range y.closers {
		c()
	}
	y.beats.Wait()
	os.RemoveAll(y.dir)
}

// heartbeat is the time between two entries that a server writes about itself.
const heartbeat = 1500 * time.Millisecond

// addServer starts a server of a service, which registers itself in the store.
func (y *yard) addServer(s *server) error {
	y.servers = append(y.servers, s)
	y.closers = append(y.closers, s.crash)
	return y.startServer(s)
}

// startServer starts the process of a server, at the address of the last one or else a free one.
func (y *yard) startServer(s *server) error {
	return y.startServerAt(s, cmp.Or(s.address, "127.0.0.1:0"))
}

// startServerAt starts the process of a server.
func (y *yard) startServerAt(s *server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	h := &http.Server{Handler: s}
	go func() {
		// The error is that of a server that was closed.
		_ = h.Serve(l)
	}()
	born, ended := time.Now().Add(s.clockAhead).UnixMilli(), make(chan struct{})
	s.setProcess(func() { h.Close() }, ended)
	y.record.printf("server %s of %s in %s starts at %s, born %d", s.id, s.service, s.zone, s.address, born)
	text := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"warmupLeftMs":0,"born":%d,`, s.service, s.address, s.zone, s.slots, born)
	write := func(sequence int) {
		y.store.Put(platformtest.TargetsTopic, s.id, fmt.Sprintf(`%s"state":%q,"sequence":%d}`, text, s.state(), sequence))
	}
	write(1)
	s.drained = make(chan struct{}, 1)
	y.beats.Go(func() {
		for sequence := 2; ; sequence++ {
			select {
			case <-time.After(heartbeat):
				write(sequence)
			case <-s.drained:
				write(sequence)
				y.record.printf("the store has taken that server %s is draining", s.id)
			case <-ended:
				return
			}
		}
	})
	return nil
}

// publish writes the operator's configuration.
func (y *yard) publish(configuration string) {
	y.store.Put(platformtest.OperatorTopic, "config", configuration)
}

// node is an entry node, run as a process.
type node struct {
	name, host, front, ready string
	// peer is the address at which the other nodes reach it, which is its ID among them.
	peer         string
	settingsPath string
	logPath      string
	// settings are the settings but for whether the whole system starts for the first time.
	settings string
	process  *os.Process
	ended    chan struct{}
}

// addNode writes the settings of a node and starts it.
func (y *yard) addNode() (n *node, err error) {
	i := len(y.nodes)
	host := fmt.Sprintf("127.0.61.%d", i+1)
	var ports [4]int
	for j := range ports {
		if ports[j], err = platformtest.FreePort(host); err != nil {
			return nil, err
		}
	}
	n = &node{
		name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1), host: host,
		front: fmt.Sprintf("%s:%d", host, ports[0]), ready: fmt.Sprintf("%s:%d", host, ports[1]), peer: fmt.Sprintf("%s:%d", host, ports[2]),
	}
	n.settingsPath, n.logPath = filepath.Join(y.dir, n.name+".yaml"), filepath.Join(y.dir, n.name+".log")
	n.settings = fmt.Sprintf(settingsFormat, n.name, host, zones[i%len(zones)], n.front, n.ready, ports[2], ports[3], y.address, platformtest.PartitionsPerTopic)
	y.nodes = append(y.nodes, n)
	return n, n.start(true)
}

// settingsFormat is the settings file of a node, with the figures of a small deployment.
const settingsFormat = `nodeName: %q
role: "entry"
machineClass: "front"
serves: ["front"]
ip: %q
zone: %q
region: "kolkata"
zones: {howrah: "kolkata", salkia: "kolkata", behala: "kolkata"}
listen: {front: %q, readinessAddr: %q}
internalPorts: [%d, %d]
seeds: []
countsToward: false
limits: {cpuShare: 0.32, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1500
bounds: {seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, downgradeSlackMs: 250, maxStretchMs: 5000, retryBudgetRatio: 0.2, retryWindowS: 10, retrySlack: 56, quotaWindowS: 5, quotaOverage: 0.1, quotaSlack: 20, warmupOverage: 1.5, warmupSlack: 5, evacuateMs: 5000, recoveryS: 15, probesPerS: 60}
platform: {address: %q, form: "log", writesPerS: 400, readsPerS: 2000, parts: %d, appendMs: 2.0, partitionMbS: 20.0, readMbS: 80.0, recordBytes: 262144, callBytes: 2097152, keep_s: 300, partMb: 200, minTtlMs: 1000}
`

// start starts the process with the command of the deploy file. isFirst reports whether the whole
// system starts for the first time.
func (n *node) start(isFirst bool) error {
	text := fmt.Sprintf("%sbootstrap: %v\n", n.settings, isFirst)
	if err := os.WriteFile(n.settingsPath, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p, err := os.StartProcess(program, []string{program, "platform"}, &os.ProcAttr{
		Env:   append(os.Environ(), "APRICOTMOUNT_NODE_FILE="+n.settingsPath),
		Files: []*os.File{nil, out, out},
	})
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.ended = p, ended
	go func() {
		defer close(ended)
		// The status is not used.
		_, _ = p.Wait()
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) error { return n.process.Signal(s) }

// kill ends the process, if it runs.
func (n *node) kill() {
	if n.process == nil {
		return
	}
	// An error means that it has ended.
	_ = n.process.Signal(syscall.SIGCONT)
	_ = n.process.Kill()
	<-n.ended
}

// isReady reports whether the node answers the platform's question with 200.
func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.ready + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// readyTimeout bounds the start of the nodes.
const readyTimeout = 20 * time.Second

// awaitReady waits until all nodes are ready.
func (y *yard) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		readyCount := 0
		for _, n := range y.nodes {
			if n.isReady() {
				readyCount++
			}
		}
		if readyCount == len(y.nodes) {
			y.record.printf("%d nodes are ready", readyCount)
			return nil
		}
	}
	return fmt.Errorf("the nodes were not ready after %s", readyTimeout)
}
