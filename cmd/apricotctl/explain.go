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

// explainCommand prints the log lines of one request together with the state that
// its node had logged up to each line.
type explainCommand struct {
	ID    string   `arg:"positional,required" help:"ID of the request"`
	Files []string `arg:"positional,required" help:"log files of the nodes; - selects standard input"`
	JSON  bool     `arg:"--json" help:"print each log line of the request as one line of JSON"`
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

// beliefsCommand prints the states of the nodes at one time, reconstructed from
// their logs, and the differences between them.
type beliefsCommand struct {
	Files   []string  `arg:"positional,required" help:"log files of the nodes; - selects standard input"`
	EndTime time.Time `arg:"--at" help:"time of the states, such as 2026-09-27T16:56:02Z [default: end of the logs]"`
	JSON    bool      `arg:"--json" help:"print JSON"`
}

func (c *beliefsCommand) run(context.Context) error {
	states := logbook.NodeStatesAt{EndTime: c.EndTime}
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

// readLogs calls handle for each line of the files, one file after the other. It
// reports progress and malformed lines on standard error.
func readLogs(files []string, handle func(logbook.Line)) error {
	for _, name := range files {
		if err := readLog(name, handle); err != nil {
			return eris.Wrapf(err, "log file %s", name)
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
		fmt.Fprintf(os.Stderr, "%s: skipped %d malformed lines of %d, the first is non-empty line %d\n", name, stats.MalformedLines, stats.Lines, stats.FirstMalformedLine)
	}
	return err
}

// progressIntervalBytes is the number of bytes between two progress messages.
const progressIntervalBytes = 256 << 20

// progressReader reports the number of bytes read so far on standard error.
type progressReader struct {
	reader io.Reader
	name   string
	// reportedBytes is the value of readBytes in the last progress message.
	readBytes, reportedBytes int64
}

// Read reads from the underlying reader. It prints a progress message
// whenever at least progressIntervalBytes were read since the last one.
func (p *progressReader) Read(b []byte) (n int, err error) {
	n, err = p.reader.Read(b)
	p.readBytes += int64(n)
	if p.readBytes-p.reportedBytes >= progressIntervalBytes {
		p.reportedBytes = p.readBytes
		fmt.Fprintf(os.Stderr, "%s: %d MiB read\n", p.name, p.readBytes>>20)
	}
	return n, err
}
