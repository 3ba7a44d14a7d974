//go:build !platform

package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/node"
	"github.com/apricotmount/apricotmount/settings"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/vm"
)

// gcPercent trades memory for processor time: the live heap of a node is some
// 10 MB, so it may grow to about 40 MB between collections.
const gcPercent = 300

// product runs a node with the product's own interface.
func product(p *arg.Parser, args arguments) {
	if args.PrintDefaults {
		text, err := settings.DefaultsYAML()
		fail(err)
		fmt.Print(text)
		return
	}
	if args.SettingsPath == "" {
		p.Fail("--settings is missing")
	}
	s, err := settings.Load(args.SettingsPath)
	fail(err)
	if args.CheckOnly {
		fmt.Println("the settings are sound")
		return
	}
	fail(run(s))
}

// run serves until a signal ends it: the first SIGTERM or SIGINT begins a
// planned stop, the second ends it at once.
func run(s settings.Settings) error {
	debug.SetGCPercent(gcPercent)
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(s.LogLevel)
	logger, err := cfg.Build()
	if err != nil {
		return err
	}
	defer logger.Sync()
	platform := node.Platform{Log: &stream.Client{URL: s.LogURL}, VMLister: &vm.Client{URL: s.VMsURL}}
	n := node.New(s, platform, logger, metrics.NewRegistry())
	if err := n.Start(); err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if cut := n.Stop(ctx); cut > 0 {
		return fmt.Errorf("the stop was forced; %d calls were cut off", cut)
	}
	return nil
}
