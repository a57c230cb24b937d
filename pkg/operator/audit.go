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

// AuditCommand is "audit".
type AuditCommand struct {
	Tool *Tool
	json bool
}

// Name implements subcommands.Command.
func (*AuditCommand) Name() string { return "audit" }

// Synopsis implements subcommands.Command.
func (*AuditCommand) Synopsis() string { return "show who changed what, when and why" }

// Usage implements subcommands.Command.
func (*AuditCommand) Usage() string { return "balsamhill audit [-json]\n" }

// SetFlags implements subcommands.Command.
func (c *AuditCommand) SetFlags(f *flag.FlagSet) { f.BoolVar(&c.json, "json", false, "print JSON") }

// Execute implements subcommands.Command.
func (c *AuditCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.Tool.withStore(ctx, func(ctx context.Context, store *presetstore.Store, _ platform.Platform) subcommands.ExitStatus {
		entries, err := store.Audit(ctx)
		if err != nil {
			return c.Tool.fail(err)
		}
		if c.json {
			if entries == nil {
				entries = []presetstore.AuditEntry{}
			}
			return c.Tool.printJSON(entries)
		}
		for _, entry := range entries {
			fmt.Fprintf(c.Tool.Out, "%s %-12s %-5s %-20s revision %d, in force %s -> %s  %s\n",
				entry.Time.Format(time.RFC3339), entry.Operator, entry.Action, entry.Preset,
				entry.Revision, entry.From, entry.To, entry.Why)
			for _, change := range entry.Changes {
				fmt.Fprintln(c.Tool.Out, "    "+change)
			}
		}
		return subcommands.ExitSuccess
	})
}
