package operator

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/presetstore"
)

// gatewayStatus is one gateway in the output of "status".
type gatewayStatus struct {
	ID            string    `json:"id"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failureDomain"`
	State         string    `json:"state"`
	Preset        string    `json:"preset"`
	Revision      uint64    `json:"revision"`
	InForceSince  time.Time `json:"inForceSince"`
	// Reachable is set if the gateway responded. Otherwise the values are those of
	// its last row in the table service.
	Reachable bool `json:"reachable"`
	// age is the age of the row of the gateway by the clock of the store.
	age time.Duration
}

// StatusCommand implements the subcommand "status", which lists all gateways with
// the preset that is in force on each.
type StatusCommand struct {
	Tool *Tool
	json bool
}

// Name implements subcommands.Command.
func (*StatusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*StatusCommand) Synopsis() string { return "show per gateway what is in force and since when" }

// Usage implements subcommands.Command.
func (*StatusCommand) Usage() string { return "balsamhill status [-json]\n" }

// SetFlags implements subcommands.Command.
func (c *StatusCommand) SetFlags(f *flag.FlagSet) { f.BoolVar(&c.json, "json", false, "print JSON") }

// Execute implements subcommands.Command.
func (c *StatusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.Tool.runReadOnly(ctx, f, func(ctx context.Context, _ *presetstore.Store, table platform.Table) subcommands.ExitStatus {
		rows, err := readRows(ctx, table)
		if err != nil {
			return c.Tool.fail(err)
		}
		statuses := queryGateways(ctx, rows)
		if c.json {
			return c.Tool.printJSON(statuses)
		}
		for _, status := range statuses {
			note := ""
			if !status.Reachable {
				note = "  (not reachable; last written values)"
			}
			fmt.Fprintf(c.Tool.Out, "%-20s %-10s %-9s preset %s revision %d since %s%s\n", status.ID, status.Region,
				status.State, status.Preset, status.Revision, status.InForceSince.Format(time.RFC3339), note)
		}
		return subcommands.ExitSuccess
	})
}
