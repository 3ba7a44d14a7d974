//go:build platform

package main

import "github.com/alexflint/go-arg"

// product says that this build has no interface of the product's own.
func runStandalone(p *arg.Parser, _ arguments) {
	p.Fail("this build runs on the users' platform only: use the subcommand platform, or build without the tag platform")
}
