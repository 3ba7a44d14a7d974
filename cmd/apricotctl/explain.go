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
	story := logbook.RequestTrace{ID: c.ID}
	if err := readLogs(c.Files, story.Add); err != nil {
		return err
	}
	if !c.JSON {
		return story.WriteText(os.Stdout)
	}
	out := json.NewEncoder(os.Stdout)
	for _, step := range story.Steps() {
		if err := out.Encode(step); err != nil {
			return err
		}
	}
	return nil
}

type beliefsCommand struct {
	Files   []string  `arg:"positional,required" help:"log files of the nodes; - is standard input"`
	EndTime time.Time `arg:"--at" help:"the instant, such as 2026-09-27T16:56:02Z [default: the end]"`
	JSON    bool      `arg:"--json" help:"print JSON"`
}

func (c *beliefsCommand) run(context.Context) error {
	until := logbook.NodeStatesAt{EndTime: c.EndTime}
	if err := readLogs(c.Files, until.Apply); err != nil {
		return err
	}
	if c.JSON {
		return c.writeJSON(&until)
	}
	for _, node := range until.Nodes() {
		b, _ := until.State(node)
		fmt.Printf("%s  ready=%v  plan=%d  zones-out=%v  targets=%d\n", node, b.Ready, b.PlanVersion, b.ZonesOutOfService, len(b.LastTargetLines))
	}
	for _, d := range until.Differences() {
		fmt.Printf("differs: %s\n", d.Subject)
		for _, node := range until.Nodes() {
			fmt.Printf("  %s  %s\n", node, d.Values[node])
		}
	}
	return nil
}

func (c *beliefsCommand) writeJSON(until *logbook.NodeStatesAt) error {
	type told struct {
		Nodes       map[logbook.Node]logbook.NodeState `json:"nodes"`
		Differences []logbook.Difference               `json:"differences"`
	}
	t := told{Nodes: map[logbook.Node]logbook.NodeState{}, Differences: until.Differences()}
	for _, node := range until.Nodes() {
		t.Nodes[node], _ = until.State(node)
	}
	return json.NewEncoder(os.Stdout).Encode(t)
}

// readLogs hands the lines of files to take, one file after the other, and tells
// on standard error how far it is and what it passed over.
func readLogs(files []string, take func(logbook.Line)) error {
	for _, name := range files {
		if err := readLog(name, take); err != nil {
			return eris.Wrapf(err, "log %s", name)
		}
	}
	return nil
}

func readLog(name string, take func(logbook.Line)) error {
	f := os.Stdin
	if name != "-" {
		opened, err := os.Open(name)
		if err != nil {
			return err
		}
		defer opened.Close()
		f = opened
	}
	tally, err := logbook.Read(&progress{r: f, name: name}, take)
	if tally.MalformedLines > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d of %d lines could not be read and were passed over, first line %d\n", name, tally.MalformedLines, tally.Lines, tally.FirstMalformedLine)
	}
	return err
}

// progressEvery is how many bytes are read between two words on progress.
const progressEvery = 256 << 20

// progress tells on standard error how far a long reading is.
type progress struct {
	r          io.Reader
	name       string
	read, told int64
}

// Read reads on.
func (p *progress) Read(b []byte) (n int, err error) {
	n, err = p.r.Read(b)
	p.read += int64(n)
	if p.read-p.told >= progressEvery {
		p.told = p.read
		fmt.Fprintf(os.Stderr, "%s: %d MiB read\n", p.name, p.read>>20)
	}
	return n, err
}
