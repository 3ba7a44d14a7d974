package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses of a script.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// script runs one case on a yard. It reports whether the rule was broken.
type script func(y *yard, hasTrouble bool) (isBroken bool, err error)

var scripts = map[string]script{}

func main() {
	recordPath := flag.String("record", "", "file for what was sent, answered and run")
	flag.Parse()
	run, ok := scripts[flag.Arg(0)]
	if !ok || *recordPath == "" {
		fmt.Fprintln(os.Stderr, "usage: yard --record FILE SCRIPT")
		os.Exit(statusNotRun)
	}
	os.Exit(runScript(run, *recordPath))
}

// runScript runs a script and returns its exit status.
func runScript(run script, recordPath string) (status int) {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer rec.close()
	y, err := newYard(rec)
	if err != nil {
		rec.printf("the case could not run: %v", err)
		return statusNotRun
	}
	defer y.close()
	isBroken, err := run(y, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		return statusNotRun
	case isBroken:
		rec.printf("verdict: the rule was broken")
		return statusBroken
	default:
		rec.printf("verdict: the rule held")
		return statusHeld
	}
}

// record is the file to which a script writes what was sent, answered and run.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// printf adds a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.file.Close()
}
