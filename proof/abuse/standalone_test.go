package abuse

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/operator"
	"github.com/apricotmount/apricotmount/platform/platformtest"
	"github.com/apricotmount/apricotmount/standin"
)

// standaloneConfiguration has one service, whose targets answer within a millisecond.
const standaloneConfiguration = `{operator: test, profiles: [{name: p, urgency: normal, idempotent: true, deadline: 5s}],
services: [{name: quick, profile: p, path-prefix: /quick, slots: 6, connections: 200, cold-slots: 1, probe-cost: 1ms}]}`

// startStandaloneNode starts a node with the settings of the project. It returns the address of
// its port for operators, too.
func startStandaloneNode(t *testing.T) (n *node, operators string) {
	t.Helper()
	if !*runAbuse {
		t.Skip("runs alone, with -abuse: it measures the memory of processes")
	}
	var addresses [6]string
	for i := range addresses {
		address, err := platformtest.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = address
	}
	n = &node{t: t, ended: make(chan error, 1), memoryMB: standaloneMB, callers: addresses[0], peers: addresses[2], readiness: addresses[3]}
	operators = addresses[1]
	site, err := standin.ParseSite(fmt.Appendf(nil, `{listen: %q, log-retention: 24h, list-lag: 1s, entries: [{vm: entry-1, address: %q, zone: east}],
targets: [{service: quick, count: 1, zones: [east], listen: %q, service-time: 1ms}]}`, addresses[4], n.peers, addresses[5]))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go site.Serve(ctx, io.Discard)
	siteURL, err := url.Parse("http://" + addresses[4])
	if err != nil {
		t.Fatal(err)
	}
	siteAddress := listen(t, failingServer{httputil.NewSingleHostReverseProxy(siteURL), &n.storeFails})
	text := fmt.Sprintf(`{node: {vm: entry-1, zone: east}, listen: {callers: %q, operators: %q, peers: %q, health: %q}, platform: {log: "http://%s", vms: "http://%s", log-retention: 24h}}`,
		n.callers, operators, n.peers, n.readiness, siteAddress, siteAddress)
	n.settingsPath = filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(n.settingsPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	n.run(maxFDs, build(t, "standalone"), "--settings", n.settingsPath)
	client := &operator.Client{URL: "http://" + operators}
	n.waitFor("a publication", func() bool {
		_, err := client.Publish(ctx, []byte(standaloneConfiguration))
		return err == nil
	})
	n.waitFor("a ready node", func() bool { return n.get(n.readiness, readinessPath) == http.StatusOK })
	n.waitFor("calls that are served", func() bool { return n.get(n.callers, ordinaryPath) == http.StatusOK })
	return n, operators
}

// checkStandalone checks a node with the settings of the project while a crowd is connected to a
// port.
func checkStandalone(t *testing.T, address func(n *node, operators string) string) {
	t.Helper()
	n, operators := startStandaloneNode(t)
	open(t, address(n, operators), smallCrowdSize, longHead).hold()
	n.checkAlive(maxFDs)
}

// Long heads from callers are bounded at a node with the settings of the project, too.
func TestLongHeadsAtStandaloneNode(t *testing.T) {
	checkStandalone(t, func(n *node, _ string) string { return n.callers })
}

// So are those at its port for operators.
func TestLongHeadsAtOperatorPort(t *testing.T) {
	checkStandalone(t, func(_ *node, operators string) string { return operators })
}

// So are those at its port between nodes.
func TestLongHeadsAtStandalonePeerPort(t *testing.T) {
	checkStandalone(t, func(n *node, _ string) string { return n.peers })
}

// So are those at its port for health checks.
func TestLongHeadsAtHealthPort(t *testing.T) {
	checkStandalone(t, func(n *node, _ string) string { return n.readiness })
}

// Bytes without end from the log and in place of the list of VMs must not fill the memory.
func TestPlatformAnswersWithoutEndAtStandaloneNode(t *testing.T) {
	n, _ := startStandaloneNode(t)
	n.storeFails.Store(true)
	time.Sleep(3 * holdTime)
	n.checkAlive(maxFDs)
}
