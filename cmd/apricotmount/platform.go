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
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/platform"
	"github.com/apricotmount/apricotmount/vm"
)

// platformCommand runs a node by the platform's settings file.
type platformCommand struct {
	SettingsPath string `arg:"-s,--settings" help:"the settings file, YAML [default: the path in the environment]"`
	CheckOnly    bool   `arg:"--check" help:"check the settings file and end"`
	// Advertise is the address by which other nodes reach this one.
	AdvertisedAddress vm.Address    `arg:"--advertise" help:"HOST:PORT by which other nodes reach this one [default: where it listens for them]"`
	LogLevel          zapcore.Level `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

const (
	// platformGCPercent keeps the heap of a small VM small: it is a few MB.
	platformGCPercent = 60
	// watchEvery is how often the settings file is looked at for changes that no
	// signal told of.
	watchEvery = 2 * time.Second
	// logPatience is how long the last log lines may take.
	logPatience = 200 * time.Millisecond
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
	if s.AdvertisedAddress, err = c.advertised(); err != nil {
		return err
	}
	if c.CheckOnly {
		fmt.Println("the settings are sound")
		return nil
	}
	debug.SetGCPercent(platformGCPercent)
	sink := event.NewSink(os.Stdout)
	defer sink.Close(logPatience)
	logger := event.NewLogger(sink, c.LogLevel)
	n := gateway.NewNode(s, gateway.Dependencies{
		Store: platform.NewStore(s.StoreAddress), Decoder: platform.RecordDecoder{}, EntrySettings: platform.EntrySettings,
		RequestIDHeader: platform.RequestIDHeader, Logger: logger, Metrics: metrics.NewRegistry(),
		DroppedLogLines: sink.TakeDroppedCount,
	})
	if err := n.Start(); err != nil {
		return err
	}
	signals := make(chan os.Signal, signalsHeld)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	w := &watch{node: n, file: watchedFile{path: path}, logger: logger}
	w.file.changed()
	w.run(signals, ticker.C)
	return nil
}

func (c *platformCommand) advertised() (vm.Address, error) {
	if c.AdvertisedAddress == "" {
		return "", nil
	}
	if _, err := netip.ParseAddrPort(string(c.AdvertisedAddress)); err != nil {
		return "", eris.Errorf("--advertise: %q is not an IP number and port", c.AdvertisedAddress)
	}
	return c.AdvertisedAddress, nil
}

// signalsHeld is how many signals wait to be looked at; one of each kind does.
const signalsHeld = 4

// runningNode is what signals act on.
type runningNode interface {
	Stop(ctx context.Context)
	Reload(s gateway.Settings)
}

// watch acts on signals and on changes of the settings file.
type watch struct {
	node   runningNode
	file   watchedFile
	logger *zap.Logger
}

// run rereads the settings when they change, and stops the node at the first
// SIGTERM or SIGINT. While it stops, only SIGINT cuts the stop short: the platform
// may send SIGTERM and SIGHUP again, and kills after the grace anyway.
func (w *watch) run(signals <-chan os.Signal, look <-chan time.Time) {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				w.stop(signals)
				return
			}
			w.reread()
		case <-look:
			w.look()
		}
	}
}

func (w *watch) stop(signals <-chan os.Signal) {
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
	w.node.Stop(ctx)
}

// reread takes the settings whether or not the file has changed.
func (w *watch) reread() {
	w.file.changed()
	w.reload()
}

// look takes the settings if the file has changed.
func (w *watch) look() {
	if w.file.changed() {
		w.reload()
	}
}

func (w *watch) reload() {
	s, err := platform.LoadSettings(w.file.path)
	if err != nil {
		event.SettingsBad.Log(w.logger, zap.String("cause", err.Error()))
		return
	}
	w.node.Reload(s)
}

// watchedFile tells when a file has changed, by what it holds: times of files are
// too coarse on some systems, and written late on others.
type watchedFile struct {
	path string
	held []byte
}

// changed reports whether the file holds something else than when it was last
// looked at.
func (f *watchedFile) changed() bool {
	b, err := os.ReadFile(f.path)
	if err != nil || bytes.Equal(b, f.held) {
		return false
	}
	f.held = b
	return true
}
