package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/logbook"
)

type explainCommand struct {
	ID    string   `arg:"positional,required" help:"the request's ID"`
	Files []string `arg:"positional,required" help:"log files of the nodes; - is standard input"`
	JSON  bool     `arg:"--json" help:"print one JSON line for each step"`
}

func (c *explainCommand) run(context.Context) error {
	trace := logbook.RequestTrace{ID: c.ID}
	if err := readLogs(c.Files, trace.Add); err != nil {
		return err
	}
	if !c.JSON {
		return trace.WriteText(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	for _, step := range trace.Steps() {
		if err := encoder.Encode(step); err != nil {
			return err
		}
	}
	return nil
}

type beliefsCommand struct {
	Files []string  `arg:"positional,required" help:"log files of the nodes; - is standard input"`
	At    time.Time `arg:"--at" help:"the instant, such as 2026-09-27T16:56:02Z [default: the end]"`
	JSON  bool      `arg:"--json" help:"print JSON"`
}

func (c *beliefsCommand) run(context.Context) error {
	states := logbook.NodeStatesAt{EndTime: c.At}
	if err := readLogs(c.Files, states.Apply); err != nil {
		return err
	}
	if c.JSON {
		return c.writeJSON(&states)
	}
	for _, node := range states.Nodes() {
		state, _ := states.State(node)
		fmt.Printf("%s  ready=%v  plan=%d  zones-out=%v  targets=%d\n", node, state.Ready, state.PlanVersion, state.ZonesOutOfService, len(state.LastTargetLines))
	}
	for _, difference := range states.Differences() {
		fmt.Printf("differs: %s\n", difference.Subject)
		for _, node := range states.Nodes() {
			fmt.Printf("  %s  %s\n", node, difference.Values[node])
		}
	}
	return nil
}

func (c *beliefsCommand) writeJSON(states *logbook.NodeStatesAt) error {
	type output struct {
		Nodes       map[logbook.Node]logbook.NodeState `json:"nodes"`
		Differences []logbook.Difference               `json:"differences"`
	}
	out := output{Nodes: map[logbook.Node]logbook.NodeState{}, Differences: states.Differences()}
	for _, node := range states.Nodes() {
		out.Nodes[node], _ = states.State(node)
	}
	return json.NewEncoder(os.Stdout).Encode(out)
}

// readLogs hands the lines of files to take, one file after the other, and tells
// on standard error how far it is and what it passed over.
func readLogs(files []string, handle func(logbook.Line)) error {
	for _, name := range files {
		if err := readLog(name, handle); err != nil {
			return eris.Wrapf(err, "log %s", name)
		}
	}
	return nil
}

func readLog(name string, handle func(logbook.Line)) error {
	f := os.Stdin
	if name != "-" {
		opened, err := os.Open(name)
		if err != nil {
			return err
		}
		defer opened.Close()
		f = opened
	}
	stats, err := logbook.Read(&progressReader{reader: f, name: name}, handle)
	if stats.MalformedLines > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d of %d lines could not be read and were passed over, first line %d\n", name, stats.MalformedLines, stats.Lines, stats.FirstMalformedLine)
	}
	return err
}

// progressIntervalBytes is how many bytes are read between two words on progress.
const progressIntervalBytes = 256 << 20

// progressReader tells on standard error how far a long reading is.
type progressReader struct {
	reader                   io.Reader
	name                     string
	readBytes, reportedBytes int64
}

// Read reads on.
func (p *progressReader) Read(b []byte) (n int, err error) {
	n, err = p.reader.Read(b)
	p.readBytes += int64(n)
	if p.readBytes-p.reportedBytes >= progressIntervalBytes {
		p.reportedBytes = p.readBytes
		fmt.Fprintf(os.Stderr, "%s: %d MiB read\n", p.name, p.readBytes>>20)
	}
	return n, err
}
