package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/gateway"
	"github.com/apricotmount/apricotmount/intake"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/platform"
	"github.com/apricotmount/apricotmount/vm"
)

// platformCommand runs a node with the settings file of the users' platform.
type platformCommand struct {
	SettingsPath string `arg:"-s,--settings" help:"path of the settings file, YAML [default: the value of APRICOTMOUNT_NODE_FILE]"`
	CheckOnly    bool   `arg:"--check" help:"check the settings file and exit"`
	// AdvertisedAddress is the address at which other nodes reach this one. Empty
	// selects the address on which the node listens for them.
	AdvertisedAddress vm.Address    `arg:"--advertise" help:"IP:PORT at which other nodes reach this one [default: the address on which it listens for them]"`
	LogLevel          zapcore.Level `arg:"--log-level" default:"info" help:"lowest level of log lines to write: debug, info, warn or error"`
}

const (
	// settingsCheckInterval is the interval between checks of the settings file for
	// changes that were not announced by SIGHUP.
	settingsCheckInterval = 2 * time.Second
	// logFlushTimeout is the time limit for writing the last log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
)

func (c *platformCommand) run() (err error) {
	path := cmp.Or(c.SettingsPath, os.Getenv(platform.SettingsPathEnv))
	if path == "" {
		return eris.Errorf("--settings is missing, and %s is not set", platform.SettingsPathEnv)
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if s.AdvertisedAddress, err = c.advertisedAddress(); err != nil {
		return err
	}
	if c.CheckOnly {
		fmt.Println("the settings are sound")
		return nil
	}
	debug.SetGCPercent(intake.GarbagePercent)
	sink := event.NewSink(os.Stdout)
	defer sink.Close(logFlushTimeout)
	logger := event.NewLogger(sink, c.LogLevel)
	store := platform.NewStore(s.StoreAddress, s.PartitionsPerTopic)
	store.Logger = logger
	n := gateway.NewNode(s, gateway.Dependencies{
		Store: store, Statuses: store, Backups: store, Decoder: platform.RecordDecoder{}, EntrySettings: platform.EntrySettings,
		RequestIDHeader: platform.RequestIDHeader, Logger: logger, Metrics: metrics.NewRegistry(),
		DroppedLogLines: sink.TakeDroppedCount,
	})
	if err := n.Start(); err != nil {
		return err
	}
	signals := make(chan os.Signal, signalBufferSize)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	controller := &nodeController{node: n, file: watchedFile{path: path}, logger: logger}
	controller.file.refresh()
	controller.run(signals, ticker.C)
	return nil
}

// advertisedAddress returns the option --advertise, which may be empty. It returns an
// error if the option is not an IP address and port.
func (c *platformCommand) advertisedAddress() (vm.Address, error) {
	if c.AdvertisedAddress == "" {
		return "", nil
	}
	if _, err := netip.ParseAddrPort(string(c.AdvertisedAddress)); err != nil {
		return "", eris.Errorf("--advertise: %q is not an IP address and port", c.AdvertisedAddress)
	}
	return c.AdvertisedAddress, nil
}

// signalBufferSize is the capacity of the channel of signals. One pending signal of
// each kind is enough.
const signalBufferSize = 4

// runningNode is the node that nodeController stops and reloads.
type runningNode interface {
	Stop(ctx context.Context)
	Reload(s gateway.Settings)
}

// nodeController stops and reloads a node on signals, and reloads it on changes of
// the settings file.
type nodeController struct {
	node   runningNode
	file   watchedFile
	logger *zap.Logger
}

// run reloads the settings on SIGHUP, and on a tick if the file has changed. It stops
// the node at the first SIGTERM or SIGINT. During the stop only SIGINT ends the wait
// for calls in progress: the platform may send SIGTERM and SIGHUP again, and kills the
// process after the grace period anyway.
func (c *nodeController) run(signals <-chan os.Signal, ticks <-chan time.Time) {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				c.stop(signals)
				return
			}
			c.reloadNow()
		case <-ticks:
			c.reloadIfChanged()
		}
	}
}

// stop stops the node and returns once it has stopped. SIGINT ends the wait for calls
// in progress; other signals are ignored.
func (c *nodeController) stop(signals <-chan os.Signal) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for {
			select {
			case s := <-signals:
				if s == syscall.SIGINT {
					cancel()
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	c.node.Stop(ctx)
}

// reloadNow applies the settings file whether or not it has changed.
func (c *nodeController) reloadNow() {
	c.file.refresh()
	c.applySettings()
}

// reloadIfChanged applies the settings file if it has changed.
func (c *nodeController) reloadIfChanged() {
	if c.file.refresh() {
		c.applySettings()
	}
}

// applySettings loads the settings file and reloads the node. If the file is invalid,
// it logs the error and the previous settings stay active.
func (c *nodeController) applySettings() {
	s, err := platform.LoadSettings(c.file.path)
	if err != nil {
		event.SettingsBad.Log(c.logger, zap.String("cause", err.Error()))
		return
	}
	c.node.Reload(s)
}

// watchedFile detects changes of a file by its content. Modification times are too
// coarse on some file systems, and updated late on others.
type watchedFile struct {
	path    string
	content []byte
}

// refresh reads the file and reports whether its content has changed since the last
// successful read. A file that cannot be read counts as unchanged.
func (f *watchedFile) refresh() bool {
	content, err := os.ReadFile(f.path)
	if err != nil || bytes.Equal(content, f.content) {
		return false
	}
	f.content = content
	return true
}
