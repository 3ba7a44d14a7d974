package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// command is a subcommand of apricotctl.
type command interface {
	run(ctx context.Context) error
}

// arguments holds the subcommands. The one given on the command line is not nil.
type arguments struct {
	Publish     *publishCommand     `arg:"subcommand:publish" help:"publish the configuration changes in a file"`
	Publication *publicationCommand `arg:"subcommand:publication" help:"print the result of an earlier publication"`
	Zone        *zoneCommand        `arg:"subcommand:zone" help:"withdraw an availability zone from service, or return it to service"`
	VM          *vmCommand          `arg:"subcommand:vm" help:"withdraw a VM from service, or return it to service"`
	Withdraw    *withdrawCommand    `arg:"subcommand:withdraw" help:"withdraw an availability zone temporarily while the platform's log is unavailable"`
	Config      *configCommand      `arg:"subcommand:config" help:"print the active configuration of a node"`
	Status      *statusCommand      `arg:"subcommand:status" help:"print the status of a node and its view of the other nodes"`
	Targets     *targetsCommand     `arg:"subcommand:targets" help:"print a node's view of the targets"`
	Quarantine  *quarantineCommand  `arg:"subcommand:quarantine" help:"print the requests that are held back because they end targets, or release one"`
	Standin     *standinCommand     `arg:"subcommand:standin" help:"serve stand-ins of the platform and of targets on loopback"`
	Load        *loadCommand        `arg:"subcommand:load" help:"send calls through running nodes and count their outcomes"`
	Fault       *faultCommand       `arg:"subcommand:fault" help:"inject or clear a fault in a running stand-in"`
	Demo        *demoCommand        `arg:"subcommand:demo" help:"run the Ghoshal deployment in one process under faults"`
	Explain     *explainCommand     `arg:"subcommand:explain" help:"print the log lines of one request and the logged state of its nodes"`
	Losses      *lossesCommand      `arg:"subcommand:losses" help:"print why calls were not served within their objective, from the logs of the nodes"`
	Beliefs     *beliefsCommand     `arg:"subcommand:beliefs" help:"print the states of the nodes at a given time, from their logs, and the differences"`
	Soak        *soakCommand        `arg:"subcommand:soak" help:"run nodes as processes under random faults and check the guarantees"`
	Events      *eventsCommand      `arg:"subcommand:events" help:"print the list of log events as Markdown"`
}

// Description returns the text that go-arg prints above the options.
func (arguments) Description() string {
	return "apricotctl publishes configuration, withdraws zones and VMs from service, shows the state of nodes, and runs trials.\n"
}

func main() {
	var args arguments
	p := arg.MustParse(&args)
	cmd, ok := p.Subcommand().(command)
	if !ok {
		p.Fail("a subcommand is missing; see --help")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := cmd.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "apricotctl:", err)
		os.Exit(1)
	}
}
