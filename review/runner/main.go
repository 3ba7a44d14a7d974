// Command runner runs one case of the review: it starts entry nodes as processes, in front of
// stand-ins of the platform's store and of servers, and checks what clients and servers see.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

// maxRunTime bounds a run of a case.
const maxRunTime = 115 * time.Second

// cases maps the name of each case to the function that runs it. The function returns whether
// the rule was broken.
var cases = map[string]func(ctx context.Context, s *site, isTroubled bool) (isBroken bool, err error){
	"moved-server":  runMovedServer,
	"changed-path":  runChangedPath,
	"encoded-slash": runEncodedSlash,
	"quota-parted":  runQuotaParted,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/bin/apricotmount", "program of an entry node")
	recordPath := flag.String("record", "record.txt", "file that the record of the run is written to")
	flag.Parse()
	os.Exit(run(*name, *program, *recordPath, os.Getenv("TROUBLE") != "0"))
}

// run runs a case and returns the exit status.
func run(name, program, recordPath string, isTroubled bool) int {
	runCase := cases[name]
	if runCase == nil {
		fmt.Fprintf(os.Stderr, "no case is named %q\n", name)
		return couldNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	path, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer rec.close()
	s, err := newSite(path, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer s.close()
	rec.note("case %s, trouble %v", name, isTroubled)
	isBroken, err := runCase(ctx, s, isTroubled)
	switch {
	case err != nil:
		rec.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	case ctx.Err() != nil:
		rec.note("could not run to the end")
		return couldNotRun
	case isBroken:
		rec.note("BROKEN")
		fmt.Println("the rule was broken")
		return broken
	default:
		rec.note("held")
		fmt.Println("the rule held")
		return held
	}
}
