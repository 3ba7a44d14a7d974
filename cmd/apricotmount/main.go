package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

// arguments holds the command line. SettingsPath, CheckOnly and PrintDefaults apply
// without the subcommand platform.
type arguments struct {
	Platform      *platformCommand `arg:"subcommand:platform" help:"run on the users' platform, with the settings file of the platform"`
	SettingsPath  string           `arg:"-s,--settings" help:"path of the settings file, YAML"`
	CheckOnly     bool             `arg:"--check" help:"check the settings file and exit"`
	PrintDefaults bool             `arg:"--print-defaults" help:"print every setting with its default and exit"`
}

// Description returns the text that go-arg prints above the options.
func (arguments) Description() string {
	return "apricotmount runs one entry node, between the platform's balancer and the targets.\n"
}

func main() {
	var args arguments
	p := arg.MustParse(&args)
	if args.Platform != nil {
		exitOnError(args.Platform.run())
		return
	}
	runStandalone(p, args)
}

// exitOnError prints a non-nil error and exits with status 1.
func exitOnError(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "apricotmount:", err)
	os.Exit(1)
}
