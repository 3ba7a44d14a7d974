package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/apricotmount/apricotmount/demo"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/standin"
)

// demoCommand runs the demonstration and prints its result.
type demoCommand struct {
	Seed      uint64        `arg:"--seed" default:"1" help:"seed of all random numbers"`
	Duration  time.Duration `arg:"--duration" default:"20s" help:"duration for which calls are sent"`
	NodeCount int           `arg:"--nodes" default:"5" help:"number of entry nodes"`
	JSON      bool          `arg:"--json" help:"print the result as one line of JSON at the end"`
}

func (c *demoCommand) run(ctx context.Context) error {
	result, err := demo.Run(ctx, demo.Settings{Seed: c.Seed, Duration: c.Duration, NodeCount: c.NodeCount, Progress: os.Stdout})
	if err != nil {
		return err
	}
	if err := result.WriteTable(os.Stdout); err != nil {
		return err
	}
	if c.JSON {
		if err := result.WriteJSON(os.Stdout); err != nil {
			return err
		}
	}
	if !result.Passed() {
		return errors.New("the demonstration violated a guarantee or completed no calls")
	}
	return nil
}

// eventsCommand prints the list of log events as Markdown.
type eventsCommand struct{}

func (eventsCommand) run(context.Context) error {
	fmt.Print(event.Markdown())
	return nil
}

// standinCommand serves stand-ins of the platform and of targets until it is
// interrupted.
type standinCommand struct {
	File string `arg:"-f,--file,required" help:"YAML file that describes the stand-ins"`
}

func (c *standinCommand) run(ctx context.Context) error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	site, err := standin.ParseSite(b)
	if err != nil {
		return err
	}
	return site.Serve(ctx, os.Stdout)
}

// faultCommand injects or clears a fault in a running stand-in, or prints the
// counters of its targets.
type faultCommand struct {
	StandinURL string   `arg:"--at,env:APRICOT_STANDIN" default:"http://127.0.0.1:9000" help:"base URL of the stand-in"`
	What       []string `arg:"positional,required" help:"one of: log down|up|slow D|lose-acks N, list down|up|remove ID, target ID STATE|restart|slow F|fail|lie|hush|silent|mend, totals; D is a duration, N a count, F a factor"`
}

func (c *faultCommand) run(ctx context.Context) error {
	text, err := standin.InjectFault(ctx, c.StandinURL, c.What)
	fmt.Print(text)
	return err
}
