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

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/metrics"
	"github.com/apricotmount/apricotmount/node"
	"github.com/apricotmount/apricotmount/settings"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/vm"
)

// gcPercent trades memory for CPU time: the live heap of a node is about 10 MB, so
// the heap may grow to about 40 MB between collections.
const gcPercent = 300

// memoryLimitShare is the part of the process' memory, in percent, above which the heap is collected
// more often. What the node keeps fits into less of it; see intake.Shares.
const memoryLimitShare = 90

// runStandalone runs a node with this project's own settings file. Depending on the
// arguments it only checks the file or prints the defaults.
func runStandalone(p *arg.Parser, args arguments) {
	if args.PrintDefaults {
		text, err := settings.DefaultsYAML()
		exitOnError(err)
		fmt.Print(text)
		return
	}
	if args.SettingsPath == "" {
		p.Fail("--settings is missing")
	}
	s, err := settings.Load(args.SettingsPath)
	exitOnError(err)
	if args.CheckOnly {
		fmt.Println("the settings are sound")
		return
	}
	exitOnError(run(s))
}

// run serves until the first SIGTERM or SIGINT, which starts a planned stop. A second
// signal ends the wait for calls in progress. The error states the number of calls
// that were aborted.
func run(s settings.Settings) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitShare * int64(s.MemoryMB) << 20 / 100)
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(s.LogLevel)
	logger, err := cfg.Build()
	if err != nil {
		return err
	}
	defer logger.Sync()
	platform := node.Platform{Log: &stream.Client{URL: s.LogURL}, VMLister: &vm.Client{URL: s.VMsURL, OnMalformed: func(entry, cause string) {
		event.ListEntryMalformed.Log(logger, zap.String("entry", entry), zap.String("error", cause))
	}}}
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
	if cutCalls := n.Stop(ctx); cutCalls > 0 {
		return fmt.Errorf("the planned stop ended early; %d calls were aborted", cutCalls)
	}
	return nil
}
