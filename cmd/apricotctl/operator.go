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

// apiOptions selects the operator API of a node.
type apiOptions struct {
	OperatorURL string `arg:"--at,env:APRICOT_OPERATORS" default:"http://127.0.0.1:8081" help:"base URL of the operator API of a node"`
	Token       string `arg:"--token,env:APRICOT_TOKEN" help:"bearer token of the operator API"`
}

func (o apiOptions) client() *operator.Client {
	return &operator.Client{URL: o.OperatorURL, Token: o.Token}
}

// printResult prints the result of an accepted publication. Any other result
// becomes an error.
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

// publishCommand publishes a document.
type publishCommand struct {
	apiOptions
	File string `arg:"-f,--file,required" help:"YAML file with the changes"`
}

func (c *publishCommand) run(ctx context.Context) error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return printResult(c.client().Publish(ctx, b))
}

// publicationCommand queries the result of an earlier publication.
type publicationCommand struct {
	apiOptions
	ID string `arg:"positional,required" help:"ID of the publication"`
}

func (c *publicationCommand) run(ctx context.Context) error {
	return printResult(c.client().Publication(ctx, config.PublicationID(c.ID)))
}

// withdrawalChange holds the arguments of commands that withdraw a zone or a VM from
// service or return it to service.
type withdrawalChange struct {
	apiOptions
	Direction    string  `arg:"positional,required" help:"out to withdraw it from service, in to return it"`
	BaseRevision *uint64 `arg:"--base" help:"revision that the change is based on [default: the active revision]"`
	Force        bool    `arg:"--force" help:"withdraw even if a service keeps no targets, or fewer slots than are in use"`
	Operator     string  `arg:"--operator,env:USER" help:"name of the operator"`
}

// publish publishes a document after setChange has added the change. It fails if the
// direction is neither out nor in.
func (c withdrawalChange) publish(ctx context.Context, setChange func(doc *config.Document, withdraw bool)) error {
	if c.Direction != "out" && c.Direction != "in" {
		return fmt.Errorf("direction %q is neither out nor in", c.Direction)
	}
	doc := config.Document{Operator: c.Operator, Force: c.Force, BaseRevision: c.BaseRevision}
	setChange(&doc, c.Direction == "out")
	return printResult(c.client().PublishDocument(ctx, doc))
}

// zoneCommand withdraws an availability zone from service or returns it.
type zoneCommand struct {
	withdrawalChange
	Zone string `arg:"positional,required" help:"name of the availability zone"`
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

// vmCommand withdraws a VM from service or returns it.
type vmCommand struct {
	withdrawalChange
	VM string `arg:"positional,required" help:"ID of the VM"`
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

// withdrawCommand starts or ends a temporary withdrawal of an availability zone.
type withdrawCommand struct {
	apiOptions
	Zone     string `arg:"positional,required" help:"name of the availability zone"`
	Duration string `arg:"--for" default:"10m" help:"duration of the withdrawal"`
	EndID    string `arg:"--end" help:"end the withdrawal with this ID instead"`
}

func (c *withdrawCommand) run(ctx context.Context) error {
	withdrawal, err := c.client().Withdraw(ctx, operator.WithdrawalRequest{Zone: c.Zone, Duration: c.Duration, ID: c.EndID, End: c.EndID != ""})
	if err != nil {
		return err
	}
	if c.EndID != "" {
		fmt.Printf("ended: %s is no longer out by %s\n", withdrawal.Zone, withdrawal.ID)
		return nil
	}
	fmt.Printf("for %s, zone %s gets no new work; to end it: apricotctl withdraw %s --end %s\n", withdrawal.Remaining, withdrawal.Zone, withdrawal.Zone, withdrawal.ID)
	return nil
}

// configCommand prints the active configuration of a node.
type configCommand struct {
	apiOptions
	JSON bool `arg:"--json" help:"print one line of JSON"`
}

func (c *configCommand) run(ctx context.Context) error {
	configuration, err := c.client().Configuration(ctx)
	if err != nil {
		return err
	}
	return printValue(configuration, c.JSON)
}

// printValue prints a value as YAML, or as one line of JSON.
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

// statusCommand prints the status of a node. It fails if the node has counted a
// violated invariant.
type statusCommand struct {
	apiOptions
	JSON bool `arg:"--json" help:"print one line of JSON"`
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
			err = errors.Join(err, fmt.Errorf("invariant %s was violated %d times", name, count))
		}
	}
	return err
}

// targetsCommand prints a node's view of the targets.
type targetsCommand struct {
	apiOptions
	JSON bool `arg:"--json" help:"print one line of JSON"`
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
