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

// loadCommand sends calls through running nodes and counts their outcomes, or
// measures the latency that the nodes add.
type loadCommand struct {
	Nodes        []string      `arg:"--nodes,required" help:"entry nodes, each as CALLERS/HEALTH with the loopback addresses for calls and for readiness, such as 127.0.0.1:8080/127.0.0.1:8083"`
	Calls        []string      `arg:"--calls,separate" help:"calls to send, each SERVICE=RATE with RATE in calls per second, or SERVICE=RATE/keyed for calls that must run at most once, sent with an idempotency key"`
	Duration     time.Duration `arg:"--duration" default:"10s" help:"duration of the run"`
	Seed         uint64        `arg:"--seed" default:"1" help:"seed of the random numbers"`
	DirectTarget string        `arg:"--straight" help:"measure the latency that nodes add instead: TARGET/SERVICE, where TARGET is the loopback address of a target that is also called directly"`
	JSON         bool          `arg:"--json" help:"print the result as one line of JSON at the end"`
}

func (c *loadCommand) run(ctx context.Context) error {
	nodes, err := c.endpoints()
	if err != nil {
		return err
	}
	balancer := &load.Balancer{}
	balancer.SetNodes(nodes)
	balancer.CheckReadiness(ctx)
	callers := load.NewCallers(balancer, c.Seed, 0)
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	go balancer.Run(ctx)
	if c.DirectTarget != "" {
		return c.measureOverhead(ctx, callers)
	}
	workloads, err := c.workloads()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	for i, workload := range workloads {
		wg.Go(func() { callers.Run(ctx, workload, i) })
	}
	wg.Wait()
	callers.Wait()
	return c.printSummary(load.Summarise(callers.Records()))
}

// endpoints parses the option --nodes. It rejects addresses that are not loopback,
// so that load is sent to this machine only.
func (c *loadCommand) endpoints() (out []load.Endpoint, err error) {
	for _, text := range c.Nodes {
		callerAddress, healthAddress, ok := strings.Cut(text, "/")
		if !ok || !isLoopback(callerAddress) || !isLoopback(healthAddress) {
			return nil, fmt.Errorf("--nodes: %q is not two loopback addresses such as 127.0.0.1:8080/127.0.0.1:8083", text)
		}
		out = append(out, load.Endpoint{Name: callerAddress, CallerAddress: callerAddress, HealthAddress: healthAddress})
	}
	return out, nil
}

// isLoopback reports whether address is a loopback IP address with a port.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}

// workloads parses the option --calls. Keyed workloads send POST requests, of which
// a fraction of 0.1 is sent twice at once, through two nodes.
func (c *loadCommand) workloads() (out []load.Workload, err error) {
	for _, text := range c.Calls {
		name, rest, _ := strings.Cut(text, "=")
		rate, option, _ := strings.Cut(rest, "/")
		w := load.Workload{Service: service.Name(name), Method: http.MethodGet, Keyed: option == "keyed"}
		if _, err := fmt.Sscanf(rate, "%g", &w.CallsPerSecond); err != nil || w.CallsPerSecond <= 0 {
			return nil, fmt.Errorf("--calls: %q is not SERVICE=RATE or SERVICE=RATE/keyed with a positive rate", text)
		}
		if w.Keyed {
			w.Method, w.DuplicateFraction = http.MethodPost, 0.1
		}
		out = append(out, w)
	}
	if len(out) == 0 {
		return nil, errors.New("--calls is missing")
	}
	return out, nil
}

func (c *loadCommand) printSummary(s load.Summary) error {
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

// overheadResult is the printed result of a measurement of the latency that nodes
// add, in milliseconds. The Through fields are for calls via a node, the Direct fields
// for direct calls to the target, and the Added fields are the differences.
type overheadResult struct {
	CallCount         int64   `json:"calls"`
	ViaNodeP50Millis  float64 `json:"through-p50-ms"`
	ViaNodeP99Millis  float64 `json:"through-p99-ms"`
	DirectP50Millis   float64 `json:"direct-p50-ms"`
	DirectP99Millis   float64 `json:"direct-p99-ms"`
	OverheadP50Millis float64 `json:"added-p50-ms"`
	OverheadP99Millis float64 `json:"added-p99-ms"`
}

// measureOverhead measures the latency that nodes add and prints an overheadResult.
func (c *loadCommand) measureOverhead(ctx context.Context, callers *load.Callers) error {
	targetAddress, serviceName, ok := strings.Cut(c.DirectTarget, "/")
	if !ok || !isLoopback(targetAddress) {
		return fmt.Errorf("--straight: %q is not TARGET/SERVICE with a loopback address, such as 127.0.0.1:9100/roundbook", c.DirectTarget)
	}
	overhead := callers.MeasureOverhead(ctx, targetAddress, "/"+serviceName+"/x")
	return json.NewEncoder(os.Stdout).Encode(overheadResult{
		CallCount: overhead.ViaNode.TotalCount(), ViaNodeP50Millis: load.PercentileMillis(overhead.ViaNode, 50), ViaNodeP99Millis: load.PercentileMillis(overhead.ViaNode, 99),
		DirectP50Millis: load.PercentileMillis(overhead.Direct, 50), DirectP99Millis: load.PercentileMillis(overhead.Direct, 99),
		OverheadP50Millis: overhead.PercentileMillis(50), OverheadP99Millis: overhead.PercentileMillis(99),
	})
}
