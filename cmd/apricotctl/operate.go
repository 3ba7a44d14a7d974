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

// apiOptions says which node to speak to.
type apiOptions struct {
	At    string `arg:"--at,env:APRICOT_OPERATORS" default:"http://127.0.0.1:8081" help:"the operator address of a node"`
	Token string `arg:"--token,env:APRICOT_TOKEN" help:"the operators' token"`
}

func (c apiOptions) client() *operator.Client {
	return &operator.Client{URL: c.At, Token: c.Token}
}

// printResult prints a publication's fate; anything but acceptance is an error.
func printResult(response operator.Response, err error) error {
	if err != nil {
		return err
	}
	switch response.Result {
	case operator.Accepted:
		fmt.Printf("accepted: revision %d is in force (publication %s)\n", response.Revision, response.ID)
		return nil
	case operator.Undetermined:
		return fmt.Errorf("undetermined: %s\nask again: apricotctl publication %s", response.Reason, response.ID)
	default:
		return fmt.Errorf("%s, revision %d stays in force: %w", response.Result, response.Revision, &operator.RefusedError{Response: response})
	}
}

type publishCommand struct {
	apiOptions
	File string `arg:"-f,--file,required" help:"the publication, YAML"`
}

func (c *publishCommand) run(ctx context.Context) error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return printResult(c.client().Publish(ctx, b))
}

type publicationCommand struct {
	apiOptions
	ID string `arg:"positional,required"`
}

func (c *publicationCommand) run(ctx context.Context) error {
	return printResult(c.client().Publication(ctx, config.PublicationID(c.ID)))
}

// withdrawalChange is what taking something out and bringing it back have in common.
type withdrawalChange struct {
	apiOptions
	Direction string  `arg:"positional,required" help:"out or in"`
	Base      *uint64 `arg:"--base" help:"the revision this is based on; default the one in force"`
	Force     bool    `arg:"--force" help:"also if a service keeps no targets, or too few"`
	Operator  string  `arg:"--operator,env:USER" help:"who asks"`
}

// publish hands in a document that fill has completed for the direction.
func (c withdrawalChange) publish(ctx context.Context, setChange func(doc *config.Document, withdraw bool)) error {
	if c.Direction != "out" && c.Direction != "in" {
		return fmt.Errorf("%q is neither out nor in", c.Direction)
	}
	doc := config.Document{Operator: c.Operator, Force: c.Force, BaseRevision: c.Base}
	setChange(&doc, c.Direction == "out")
	return printResult(c.client().PublishDocument(ctx, doc))
}

type zoneCommand struct {
	withdrawalChange
	Zone string `arg:"positional,required"`
}

func (c *zoneCommand) run(ctx context.Context) error {
	return c.publish(ctx, func(doc *config.Document, withdraw bool) {
		if withdraw {
			doc.WithdrawZones = []zone.Name{zone.Name(c.Zone)}
			return
		}
		doc.ReturnZones = []zone.Name{zone.Name(c.Zone)}
	})
}

type vmCommand struct {
	withdrawalChange
	VM string `arg:"positional,required"`
}

func (c *vmCommand) run(ctx context.Context) error {
	return c.publish(ctx, func(doc *config.Document, withdraw bool) {
		if withdraw {
			doc.WithdrawVMs = []vm.ID{vm.ID(c.VM)}
			return
		}
		doc.ReturnVMs = []vm.ID{vm.ID(c.VM)}
	})
}

type withdrawCommand struct {
	apiOptions
	Zone string `arg:"positional,required"`
	For  string `arg:"--for" default:"10m" help:"how long it lasts"`
	End  string `arg:"--end" help:"end the withdrawal of this ID instead"`
}

func (c *withdrawCommand) run(ctx context.Context) error {
	withdrawal, err := c.client().Withdraw(ctx, operator.WithdrawalRequest{Zone: c.Zone, Duration: c.For, ID: c.End, End: c.End != ""})
	if err != nil {
		return err
	}
	if c.End != "" {
		fmt.Printf("ended: %s is no longer out by %s\n", withdrawal.Zone, withdrawal.ID)
		return nil
	}
	fmt.Printf("for %s, zone %s gets no new work; to end it: apricotctl withdraw %s --end %s\n", withdrawal.Remaining, withdrawal.Zone, withdrawal.Zone, withdrawal.ID)
	return nil
}

type configCommand struct {
	apiOptions
	JSON bool `arg:"--json"`
}

func (c *configCommand) run(ctx context.Context) error {
	configuration, err := c.client().Configuration(ctx)
	if err != nil {
		return err
	}
	return printValue(configuration, c.JSON)
}

// printValue prints a value as YAML, or as JSON in one line.
func printValue(v any, asJSON bool) error {
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
	apiOptions
	JSON bool `arg:"--json"`
}

func (c *statusCommand) run(ctx context.Context) error {
	status, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printValue(status, true)
	}
	fmt.Printf("node %s in %s, ready %v %s, revision %d, log heard %s ago\n", status.VM, status.Zone, status.Ready, status.Reason, status.Revision, status.LogAge)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tADDRESS\tZONE\tSTATUS\tOFFSET\tDIGEST")
	for _, m := range status.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\n", m.Incarnation, m.Address, m.Zone, m.Status, m.NextOffset, m.Digest)
	}
	err = table.Flush()
	for name, count := range status.InvariantViolations {
		if count > 0 {
			err = errors.Join(err, fmt.Errorf("promise %s was broken %d times", name, count))
		}
	}
	return err
}

type targetsCommand struct {
	apiOptions
	JSON bool `arg:"--json"`
}

func (c *targetsCommand) run(ctx context.Context) error {
	targets, err := c.client().Targets(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printValue(targets, true)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tVM\tZONE\tSTATE\tOUT\tEJECTED\tOWN\tOTHERS\tSLOWNESS\tSERVED")
	for _, target := range targets {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%v\t%v\t%d\t%.1f\t%.1f\t%d\n", target.Service, target.VM, target.Zone, target.State, target.Withdrawn, target.Ejected, target.OwnInFlight, target.OthersInFlight, target.Slowness, target.ServedCount)
	}
	return table.Flush()
}
