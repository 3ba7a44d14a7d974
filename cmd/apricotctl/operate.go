package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/goccy/go-yaml"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/operator"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// connection says which node to speak to.
type connection struct {
	At    string `arg:"--at,env:APRICOT_OPERATORS" default:"http://127.0.0.1:8081" help:"the operator address of a node"`
	Token string `arg:"--token,env:APRICOT_TOKEN" help:"the operators' token"`
}

func (c connection) client() *operator.Client {
	return &operator.Client{URL: c.At, Token: c.Token}
}

// settle prints a publication's fate; anything but acceptance is an error.
func settle(a operator.Response, err error) error {
	if err != nil {
		return err
	}
	switch a.Result {
	case operator.Accepted:
		fmt.Printf("accepted: revision %d is in force (publication %s)\n", a.Revision, a.ID)
		return nil
	case operator.Undetermined:
		return fmt.Errorf("undetermined: %s\nask again: apricotctl publication %s", a.Reason, a.ID)
	default:
		return fmt.Errorf("%s, revision %d stays in force: %w", a.Result, a.Revision, &operator.RefusedError{Response: a})
	}
}

type publishCommand struct {
	connection
	File string `arg:"-f,--file,required" help:"the publication, YAML"`
}

func (c *publishCommand) run(ctx context.Context) error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return settle(c.client().Publish(ctx, b))
}

type publicationCommand struct {
	connection
	ID string `arg:"positional,required"`
}

func (c *publicationCommand) run(ctx context.Context) error {
	return settle(c.client().Publication(ctx, config.PublicationID(c.ID)))
}

// turn is what taking something out and bringing it back have in common.
type turn struct {
	connection
	Direction string  `arg:"positional,required" help:"out or in"`
	Base      *uint64 `arg:"--base" help:"the revision this is based on; default the one in force"`
	Force     bool    `arg:"--force" help:"also if a service keeps no targets, or too few"`
	Operator  string  `arg:"--operator,env:USER" help:"who asks"`
}

// publish hands in a document that fill has completed for the direction.
func (c turn) publish(ctx context.Context, fill func(doc *config.Document, out bool)) error {
	if c.Direction != "out" && c.Direction != "in" {
		return fmt.Errorf("%q is neither out nor in", c.Direction)
	}
	doc := config.Document{Operator: c.Operator, Force: c.Force, BaseRevision: c.Base}
	fill(&doc, c.Direction == "out")
	return settle(c.client().PublishDocument(ctx, doc))
}

type zoneCommand struct {
	turn
	Zone string `arg:"positional,required"`
}

func (c *zoneCommand) run(ctx context.Context) error {
	return c.publish(ctx, func(doc *config.Document, out bool) {
		if out {
			doc.WithdrawZones = []zone.Name{zone.Name(c.Zone)}
			return
		}
		doc.ReturnZones = []zone.Name{zone.Name(c.Zone)}
	})
}

type vmCommand struct {
	turn
	VM string `arg:"positional,required"`
}

func (c *vmCommand) run(ctx context.Context) error {
	return c.publish(ctx, func(doc *config.Document, out bool) {
		if out {
			doc.WithdrawVMs = []vm.ID{vm.ID(c.VM)}
			return
		}
		doc.ReturnVMs = []vm.ID{vm.ID(c.VM)}
	})
}

type withdrawCommand struct {
	connection
	Zone     string `arg:"positional,required"`
	Duration string `arg:"--for" default:"10m" help:"how long it lasts"`
	EndID    string `arg:"--end" help:"end the withdrawal of this ID instead"`
}

func (c *withdrawCommand) run(ctx context.Context) error {
	out, err := c.client().Withdraw(ctx, operator.WithdrawalRequest{Zone: c.Zone, Duration: c.Duration, ID: c.EndID, End: c.EndID != ""})
	if err != nil {
		return err
	}
	if c.EndID != "" {
		fmt.Printf("ended: %s is no longer out by %s\n", out.Zone, out.ID)
		return nil
	}
	fmt.Printf("for %s, zone %s gets no new work; to end it: apricotctl withdraw %s --end %s\n", out.Remaining, out.Zone, out.Zone, out.ID)
	return nil
}

type configCommand struct {
	connection
	JSON bool `arg:"--json"`
}

func (c *configCommand) run(ctx context.Context) error {
	v, err := c.client().Configuration(ctx)
	if err != nil {
		return err
	}
	return show(v, c.JSON)
}

// show prints a value as YAML, or as JSON in one line.
func show(v any, asJSON bool) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if !asJSON {
		if b, err = yaml.JSONToYAML(b); err != nil {
			return err
		}
	}
	fmt.Println(string(b))
	return nil
}

type statusCommand struct {
	connection
	JSON bool `arg:"--json"`
}

func (c *statusCommand) run(ctx context.Context) error {
	s, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return show(s, true)
	}
	fmt.Printf("node %s in %s, ready %v %s, revision %d, log heard %s ago\n", s.VM, s.Zone, s.Ready, s.Reason, s.Revision, s.LogAge)
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NODE\tADDRESS\tZONE\tSTATUS\tOFFSET\tDIGEST")
	for _, m := range s.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\n", m.Incarnation, m.Address, m.Zone, m.Status, m.NextOffset, m.Digest)
	}
	err = t.Flush()
	for name, n := range s.InvariantViolations {
		if n > 0 {
			err = errors.Join(err, fmt.Errorf("promise %s was broken %d times", name, n))
		}
	}
	return err
}

type targetsCommand struct {
	connection
	JSON bool `arg:"--json"`
}

func (c *targetsCommand) run(ctx context.Context) error {
	list, err := c.client().Targets(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return show(list, true)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tVM\tZONE\tSTATE\tOUT\tEJECTED\tOWN\tOTHERS\tSLOWNESS\tSERVED")
	for _, v := range list {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%v\t%v\t%d\t%.1f\t%.1f\t%d\n", v.Service, v.VM, v.Zone, v.State, v.Withdrawn, v.Ejected, v.OwnInFlight, v.OthersInFlight, v.Slowness, v.ServedCount)
	}
	return t.Flush()
}
