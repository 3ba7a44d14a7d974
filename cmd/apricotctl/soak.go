package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/apricotmount/apricotmount/soak"
)

type soakCommand struct {
	Program       string        `arg:"--program,required" help:"the program that runs a node, such as target/bin/apricotmount"`
	FirstSeed     uint64        `arg:"--seed" default:"1" help:"the first seed"`
	SeedCount     int           `arg:"--seeds" default:"1" help:"how many seeds, one after the other"`
	NodeCount     int           `arg:"--nodes" default:"5" help:"how many nodes, each a process"`
	TargetCount   int           `arg:"--targets" default:"8" help:"how many targets at the start"`
	CallerCount   int           `arg:"--callers" default:"8" help:"how many callers at once"`
	FaultDuration time.Duration `arg:"--faults" default:"15s" help:"how long things break"`
	ConfigTimeout time.Duration `arg:"--in-force" default:"2.5s" help:"how long a configuration may take to be in force everywhere when nothing is broken"`
	FaultNames    []string      `arg:"--only" help:"the faults to draw from, such as stop and pause [default: all]"`
	Verbose       bool          `arg:"--verbose" help:"print each fault"`
}

func (c *soakCommand) run(ctx context.Context) error {
	failed := 0
	for i := range c.SeedCount {
		r, dir, err := c.once(ctx, c.FirstSeed+uint64(i))
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: calls %v, faults %v, findings %d\n", r.Seed, r.OutcomeCounts, r.FaultCounts, len(r.Findings))
		if len(r.Findings) == 0 {
			os.RemoveAll(dir)
			continue
		}
		failed++
		for _, f := range r.Findings {
			fmt.Println("  ", f)
		}
		fmt.Println("   logs are kept in", dir)
	}
	if failed > 0 {
		return errors.New("promises were broken")
	}
	return nil
}

// once runs one seed and returns the folder with its logs.
func (c *soakCommand) once(ctx context.Context, seed uint64) (r soak.Result, dir string, err error) {
	dir, err = soak.TempDir()
	if err != nil {
		return soak.Result{}, "", err
	}
	s := soak.Settings{
		Program: c.Program, Args: []string{"platform"}, Seed: seed, NodeCount: c.NodeCount, TargetCount: c.TargetCount,
		CallerCount: c.CallerCount, FaultDuration: c.FaultDuration, FaultNames: c.FaultNames, ConfigTimeout: c.ConfigTimeout, Dir: dir,
	}
	if c.Verbose {
		s.Progress = os.Stdout
	}
	r, err = soak.Run(ctx, s)
	return r, dir, err
}
