package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Platform      *platformCommand `arg:"subcommand:platform" help:"run on the users' platform, by its settings file"`
	SettingsPath  string           `arg:"-s,--settings" help:"the settings file, YAML"`
	CheckOnly     bool             `arg:"--check" help:"check the settings file and end"`
	PrintDefaults bool             `arg:"--print-defaults" help:"print every setting with its default and end"`
}

// Description tells go-arg what to print above the options.
func (arguments) Description() string {
	return "apricotmount runs one entry node, between the platform's balancer and the targets.\n"
}

func main() {
	var args arguments
	p := arg.MustParse(&args)
	if args.Platform != nil {
		fail(args.Platform.run())
		return
	}
	product(p, args)
}

func fail(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "apricotmount:", err)
	os.Exit(1)
}
