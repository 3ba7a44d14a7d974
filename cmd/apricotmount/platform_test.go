package main

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/gateway"
)

// slowNode takes 4 s to stop unless the context is cancelled. It counts reloads.
type slowNode struct {
	stopCancelled bool
	reloadCount   int
}

func (n *slowNode) Stop(ctx context.Context) {
	select {
	case <-time.After(4 * time.Second):
	case <-ctx.Done():
		n.stopCancelled = true
	}
}

func (n *slowNode) Reload(gateway.Settings) { n.reloadCount++ }

// While a node stops, the platform may send SIGHUP, or SIGTERM again. If one of them
// cancelled the stop, calls in progress would be aborted. Only SIGINT may cancel it.
func TestOnlySIGINTCancelsPlannedStop(t *testing.T) {
	tests := []struct {
		name          string
		secondSignal  syscall.Signal
		wantCancelled bool
	}{
		{"SIGHUP", syscall.SIGHUP, false},
		{"second SIGTERM", syscall.SIGTERM, false},
		{"SIGINT", syscall.SIGINT, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &slowNode{}
				c := &nodeController{node: n}
				signals := make(chan os.Signal, signalBufferSize)
				done := make(chan struct{})
				go func() {
					c.run(signals, nil)
					close(done)
				}()
				signals <- syscall.SIGTERM
				time.Sleep(time.Second)
				signals <- tt.secondSignal
				<-done
				if n.stopCancelled != tt.wantCancelled {
					t.Errorf("stop cancelled: got %v, want %v", n.stopCancelled, tt.wantCancelled)
				}
			})
		})
	}
}

// validSettings is a settings file of the platform without errors.
const validSettings = `
nodeName: "n"
ip: "10.1.0.34"
zone: "howrah"
listen: {front: "10.1.0.34:8548", readinessAddr: "10.1.0.34:8542"}
internalPorts: [7540, 7555]
platform: {address: "10.200.1.7:8541"}
`

// A settings file that changes without SIGHUP is applied once, also if its length
// stays the same. An invalid file is not applied. SIGHUP applies the file even if it
// has not changed.
func TestSettingsFileReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.yaml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(validSettings)
	n := &slowNode{}
	c := &nodeController{node: n, file: watchedFile{path: path}}
	c.file.refresh()
	wantReloads := func(reloads int, step string) {
		t.Helper()
		if n.reloadCount != reloads {
			t.Errorf("%s: got %d reloads, want %d", step, n.reloadCount, reloads)
		}
	}
	c.reloadIfChanged()
	wantReloads(0, "unchanged")
	write(validSettings + "bootstrap: true\n")
	c.reloadIfChanged()
	c.reloadIfChanged()
	wantReloads(1, "changed")
	write(validSettings + "bootstrap: True\n")
	c.reloadIfChanged()
	wantReloads(2, "changed with the same length")
	write("nodeName: [")
	c.reloadIfChanged()
	c.reloadNow()
	wantReloads(2, "invalid")
	write(validSettings)
	c.reloadNow()
	c.reloadNow()
	wantReloads(4, "after SIGHUP")
}
