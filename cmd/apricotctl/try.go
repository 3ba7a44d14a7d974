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

type demoCommand struct {
	Seed      uint64        `arg:"--seed" default:"1" help:"starts all random numbers"`
	Duration  time.Duration `arg:"--duration" default:"20s" help:"how long calls flow"`
	NodeCount int           `arg:"--nodes" default:"5" help:"how many entry nodes run"`
	JSON      bool          `arg:"--json" help:"end with one JSON line"`
}

func (c *demoCommand) run(ctx context.Context) error {
	r, err := demo.Run(ctx, demo.Settings{Seed: c.Seed, Duration: c.Duration, NodeCount: c.NodeCount, Progress: os.Stdout})
	if err != nil {
		return err
	}
	if err := r.WriteTable(os.Stdout); err != nil {
		return err
	}
	if c.JSON {
		if err := r.WriteJSON(os.Stdout); err != nil {
			return err
		}
	}
	if !r.Passed() {
		return errors.New("a promise was broken")
	}
	return nil
}

type eventsCommand struct{}

func (eventsCommand) run(context.Context) error {
	fmt.Print(event.Markdown())
	return nil
}

type standinCommand struct {
	File string `arg:"-f,--file,required" help:"what to serve, YAML"`
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

type faultCommand struct {
	StandinURL string   `arg:"--at,env:APRICOT_STANDIN" default:"http://127.0.0.1:9000" help:"the stand-in's address"`
	What       []string `arg:"positional,required" help:"log down|up|slow D|lose-acks N, list down|up, target ID STATE|restart|slow F|fail|lie|hush|silent|mend, totals"`
}

func (c *faultCommand) run(ctx context.Context) error {
	text, err := standin.InjectFault(ctx, c.StandinURL, c.What)
	fmt.Print(text)
	return err
}
