// Command stage plays the cases of a review with separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name; each reports whether the rule was broken.
var cases = map[string]func(s *site, withTrouble bool) (broken bool, err error){
	"pipeline": pipelineCase,
}

// Exit statuses.
const (
	held, wasBroken, couldNotRun = 0, 1, 2
)

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE PROGRAM RECORD")
		os.Exit(couldNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit status.
func play(name, program, recordPath string) int {
	out, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer out.Close()
	rec := newRecord(out)
	s, err := newSite(program, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer s.close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupts
		s.close()
		os.Exit(couldNotRun)
	}()
	broken, err := cases[name](s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.addf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	rec.addf("the rule was broken: %v", broken)
	if broken {
		return wasBroken
	}
	return held
}
