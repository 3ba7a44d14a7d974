//go:build platform

package main

import "github.com/alexflint/go-arg"

// runStandalone exits with an error: a build with the tag platform cannot run a node
// without the users' platform.
func runStandalone(p *arg.Parser, _ arguments) {
	p.Fail("this build runs on the users' platform only: use the subcommand platform, or build without the tag platform")
}
