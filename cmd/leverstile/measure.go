package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/juju/errors"

	"leverstile.dev/measure"
)

type measureCommand struct {
	Out string `long:"out" value-name:"FILE" description:"write the figures as JSON"`
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	report, err := measure.All(func(part string) { fmt.Fprintln(os.Stderr, "measuring:", part) })
	if err != nil {
		return err
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, f := range report.Figures {
		fmt.Fprintf(tw, "%s\t%d\t%.1f\t(%.1f to %.1f)\t%s\n", f.Name, f.Size, f.Median, f.Min, f.Max, f.Unit)
	}
	if err := tw.Flush(); err != nil || c.Out == "" {
		return errors.Trace(err)
	}
	b, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(c.Out, append(b, '\n'), 0o644))
}
