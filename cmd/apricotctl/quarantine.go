package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/apricotmount/apricotmount/operator"
)

// quarantineCommand prints the requests that are suspected to end targets, or releases one.
type quarantineCommand struct {
	apiOptions
	JSON    bool   `arg:"--json" help:"print one line of JSON"`
	Release string `arg:"--release" placeholder:"REQUEST" help:"send the request with this digest like any other again, at all nodes"`
}

func (c *quarantineCommand) run(ctx context.Context) error {
	if c.Release != "" {
		if err := c.client().Release(ctx, operator.ReleaseRequest{Request: c.Release}); err != nil {
			return err
		}
		fmt.Printf("released: request %s is sent like any other again\n", c.Release)
		return nil
	}
	requests, err := c.client().Quarantine(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printValue(requests, true)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REQUEST\tVERDICT\tTRIALS\tENDED")
	for _, r := range requests {
		ended := make([]string, len(r.Ended))
		for i, e := range r.Ended {
			ended[i] = fmt.Sprintf("%s (%s ago, seen by %s)", e.VM, e.Age, e.Witness)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", r.Request, r.Verdict, r.Trials, strings.Join(ended, ", "))
	}
	return table.Flush()
}
