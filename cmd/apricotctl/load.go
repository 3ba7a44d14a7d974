package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/apricotmount/apricotmount/load"
	"github.com/apricotmount/apricotmount/service"
)

type loadCommand struct {
	Nodes        []string      `arg:"--nodes,required" help:"entry nodes, each CALLERS/HEALTH such as 127.0.0.1:8080/127.0.0.1:8083"`
	Calls        []string      `arg:"--calls,separate" help:"what to send, each SERVICE=RATE, or SERVICE=RATE/keyed for calls that must run once"`
	Duration     time.Duration `arg:"--duration" default:"10s"`
	Seed         uint64        `arg:"--seed" default:"1"`
	DirectTarget string        `arg:"--straight" help:"measure added time instead: a TARGET/SERVICE that is also called straight"`
	JSON         bool          `arg:"--json" help:"end with one JSON line"`
}

func (c *loadCommand) run(ctx context.Context) error {
	nodes, err := c.endpoints()
	if err != nil {
		return err
	}
	b := &load.Balancer{}
	b.SetNodes(nodes)
	b.CheckReadiness(ctx)
	callers := load.NewCallers(b, c.Seed, 0)
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	go b.Run(ctx)
	if c.DirectTarget != "" {
		return c.added(ctx, callers)
	}
	kinds, err := c.kinds()
	if err != nil {
		return err
	}
	var running sync.WaitGroup
	for i, k := range kinds {
		running.Go(func() { callers.Run(ctx, k, i) })
	}
	running.Wait()
	callers.Wait()
	return c.print(load.Summarise(callers.Records()))
}

// endpoints reads the nodes; calls are sent to this machine only.
func (c *loadCommand) endpoints() (out []load.Endpoint, err error) {
	for _, text := range c.Nodes {
		callers, health, ok := strings.Cut(text, "/")
		if !ok || !loopback(callers) || !loopback(health) {
			return nil, fmt.Errorf("--nodes: %q is not two loopback addresses such as 127.0.0.1:8080/127.0.0.1:8083", text)
		}
		out = append(out, load.Endpoint{Name: callers, CallerAddress: callers, HealthAddress: health})
	}
	return out, nil
}

func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}

func (c *loadCommand) kinds() (out []load.Workload, err error) {
	for _, text := range c.Calls {
		name, rest, _ := strings.Cut(text, "=")
		rate, how, _ := strings.Cut(rest, "/")
		k := load.Workload{Service: service.Name(name), Method: http.MethodGet, Keyed: how == "keyed"}
		if _, err := fmt.Sscanf(rate, "%g", &k.CallsPerSecond); err != nil || k.CallsPerSecond <= 0 {
			return nil, fmt.Errorf("--calls: %q is not SERVICE=RATE or SERVICE=RATE/keyed", text)
		}
		if k.Keyed {
			k.Method, k.DuplicateFraction = http.MethodPost, 0.1
		}
		out = append(out, k)
	}
	if len(out) == 0 {
		return nil, errors.New("--calls is missing")
	}
	return out, nil
}

func (c *loadCommand) print(s load.Summary) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	s.Write(t)
	if err := t.Flush(); err != nil {
		return err
	}
	if !c.JSON {
		return nil
	}
	return json.NewEncoder(os.Stdout).Encode(s)
}

// addedTime is the last line of a measurement of added time, in milliseconds.
type addedTime struct {
	Calls      int64   `json:"calls"`
	ThroughP50 float64 `json:"through-p50-ms"`
	ThroughP99 float64 `json:"through-p99-ms"`
	DirectP50  float64 `json:"direct-p50-ms"`
	DirectP99  float64 `json:"direct-p99-ms"`
	AddedP50   float64 `json:"added-p50-ms"`
	AddedP99   float64 `json:"added-p99-ms"`
}

func (c *loadCommand) added(ctx context.Context, callers *load.Callers) error {
	target, name, ok := strings.Cut(c.DirectTarget, "/")
	if !ok || !loopback(target) {
		return fmt.Errorf("--straight: %q is not TARGET/SERVICE such as 127.0.0.1:9100/roundbook", c.DirectTarget)
	}
	a := callers.MeasureOverhead(ctx, target, "/"+name+"/x")
	return json.NewEncoder(os.Stdout).Encode(addedTime{
		Calls: a.ViaNode.TotalCount(), ThroughP50: load.PercentileMillis(a.ViaNode, 50), ThroughP99: load.PercentileMillis(a.ViaNode, 99),
		DirectP50: load.PercentileMillis(a.Direct, 50), DirectP99: load.PercentileMillis(a.Direct, 99),
		AddedP50: a.PercentileMillis(50), AddedP99: a.PercentileMillis(99),
	})
}
