package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/apricotmount/apricotmount/logbook"
)

// lossesCommand prints why calls were not served within their objective.
type lossesCommand struct {
	Files     []string `arg:"positional,required" help:"log files of the nodes; - selects standard input"`
	BySeconds int      `arg:"--by" help:"length of a row in seconds; 0 prints one row for each service"`
	JSON      bool     `arg:"--json" help:"print each second of each service as one line of JSON"`
}

func (c *lossesCommand) run(context.Context) error {
	var losses logbook.Losses
	if err := readLogs(c.Files, losses.Apply); err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "service\tfrom\tcalls\tin time\t")
	for _, cause := range logbook.Causes {
		fmt.Fprintf(w, "%s\t", cause)
	}
	fmt.Fprintln(w)
	for _, service := range losses.Services() {
		windows := losses.Windows(service)
		if c.JSON {
			if err := writeWindows(service, windows); err != nil {
				return err
			}
			continue
		}
		for _, row := range c.rows(windows) {
			printRow(w, service, row)
		}
	}
	if c.JSON {
		return nil
	}
	return w.Flush()
}

func writeWindows(service string, windows []logbook.Window) error {
	encoder := json.NewEncoder(os.Stdout)
	for _, window := range windows {
		if err := encoder.Encode(struct {
			Service string
			logbook.Window
		}{service, window}); err != nil {
			return err
		}
	}
	return nil
}

// rows adds up the windows of each row.
func (c *lossesCommand) rows(windows []logbook.Window) (rows []logbook.Window) {
	for _, w := range windows {
		last := len(rows) - 1
		if last < 0 || c.BySeconds > 0 && w.Start.Sub(rows[last].Start) >= time.Duration(c.BySeconds)*time.Second {
			rows = append(rows, logbook.Window{Start: w.Start, Lost: map[logbook.Cause]float64{}})
			last++
		}
		rows[last].Calls += w.Calls
		rows[last].InTime += w.InTime
		for cause, n := range w.Lost {
			rows[last].Lost[cause] += n
		}
	}
	return rows
}

func printRow(w *tabwriter.Writer, service string, row logbook.Window) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t", service, row.Start.Format(time.TimeOnly), row.Calls, row.InTime)
	for _, cause := range logbook.Causes {
		fmt.Fprintf(w, "%.0f\t", row.Lost[cause])
	}
	fmt.Fprintln(w)
}
