package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/apricotmount/apricotmount/soak"
)

// soakCommand runs the soak test with consecutive seeds and keeps the logs of runs
// with findings.
type soakCommand struct {
	Program       string        `arg:"--program,required" help:"path of the program that runs a node, such as target/bin/apricotmount"`
	FirstSeed     uint64        `arg:"--seed" default:"1" help:"first seed"`
	SeedCount     int           `arg:"--seeds" default:"1" help:"number of consecutive seeds, run one after the other"`
	NodeCount     int           `arg:"--nodes" default:"5" help:"number of nodes, each in its own process"`
	TargetCount   int           `arg:"--targets" default:"8" help:"number of targets at the start"`
	CallerCount   int           `arg:"--callers" default:"8" help:"number of concurrent callers"`
	FaultDuration time.Duration `arg:"--faults" default:"15s" help:"duration of the phase in which faults are injected"`
	ConfigTimeout time.Duration `arg:"--in-force" default:"2.5s" help:"maximum duration until a configuration is active at all nodes in the absence of faults"`
	FaultNames    []string      `arg:"--only,separate" help:"name of a fault to draw from, such as stop; repeat it for several [default: all]"`
	Harmful       bool          `arg:"--harmful" help:"add a caller whose requests end the targets that run them"`
	Verbose       bool          `arg:"--verbose" help:"print the progress of each run"`
}

func (c *soakCommand) run(ctx context.Context) error {
	failedCount := 0
	for i := range c.SeedCount {
		result, dir, err := c.runSeed(ctx, c.FirstSeed+uint64(i))
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: calls %v, faults %v, findings %d\n", result.Seed, result.OutcomeCounts, result.FaultCounts, len(result.Findings))
		if len(result.Findings) == 0 {
			os.RemoveAll(dir)
			continue
		}
		failedCount++
		for _, finding := range result.Findings {
			fmt.Println("  ", finding)
		}
		fmt.Println("   logs are kept in", dir)
	}
	if failedCount > 0 {
		return errors.New("the soak test found violated guarantees")
	}
	return nil
}

// runSeed runs one seed. It returns the result and the directory with the logs.
func (c *soakCommand) runSeed(ctx context.Context, seed uint64) (result soak.Result, dir string, err error) {
	dir, err = soak.TempDir()
	if err != nil {
		return soak.Result{}, "", err
	}
	settings := soak.Settings{
		Program: c.Program, Args: []string{"platform"}, Seed: seed, NodeCount: c.NodeCount, TargetCount: c.TargetCount,
		CallerCount: c.CallerCount, FaultDuration: c.FaultDuration, FaultNames: c.FaultNames, ConfigTimeout: c.ConfigTimeout, Harmful: c.Harmful, Dir: dir,
	}
	if c.Verbose {
		settings.Progress = os.Stdout
	}
	result, err = soak.Run(ctx, settings)
	return result, dir, err
}
