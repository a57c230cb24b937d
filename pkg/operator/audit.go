package operator

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"
	"unicode"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/presetstore"
)

// AuditCommand implements the subcommand "audit", which lists accepted changes.
type AuditCommand struct {
	Tool  *Tool
	json  bool
	write string
}

// Name implements subcommands.Command.
func (*AuditCommand) Name() string { return "audit" }

// Synopsis implements subcommands.Command.
func (*AuditCommand) Synopsis() string { return "show who changed what, when and why" }

// Usage implements subcommands.Command.
func (*AuditCommand) Usage() string {
	return `balsamhill audit [-write ID] [-json]

With -write it says what became of one change: exit code 0 if it was accepted, 1
if it is not in the audit trail.
`
}

// SetFlags implements subcommands.Command.
func (c *AuditCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.StringVar(&c.write, "write", "", "show only the change with this write ID")
}

// Execute implements subcommands.Command.
func (c *AuditCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.Tool.runReadOnly(ctx, f, func(ctx context.Context, store *presetstore.Store, _ platform.Table) subcommands.ExitStatus {
		entries, err := c.entries(ctx, store)
		if err != nil {
			return c.Tool.fail(err)
		}
		if c.json {
			c.Tool.printJSON(entries)
		} else {
			printEntries(c.Tool.Out, "", entries)
		}
		if c.write != "" && len(entries) == 0 {
			return c.Tool.fail(eris.Errorf("no accepted change has the write ID %q; one whose outcome was unknown "+
				"a moment ago may still arrive, so ask again after a minute", c.write))
		}
		return subcommands.ExitSuccess
	})
}

// entries returns all accepted changes, or the one with the write ID given. The
// list is never nil, so that an empty one is printed as a JSON array.
func (c *AuditCommand) entries(ctx context.Context, store *presetstore.Store) ([]presetstore.AuditEntry, error) {
	entries := []presetstore.AuditEntry{}
	if c.write == "" {
		all, err := store.Audit(ctx)
		return append(entries, all...), err
	}
	entry, found, err := store.Find(ctx, c.write)
	if err == nil && found {
		entries = append(entries, entry)
	}
	return entries, err
}

func printEntries(out io.Writer, indent string, entries []presetstore.AuditEntry) {
	for _, entry := range entries {
		fmt.Fprintf(out, "%s%s %-12s %-5s %-20s revision %d, in force %s -> %s, write ID %s  %s\n",
			indent, entry.Time.Format(time.RFC3339), oneLine(entry.Operator), entry.Action, entry.Preset,
			entry.Revision, orNone(entry.From), orNone(entry.To), entry.WriteID, oneLine(entry.Why))
		for _, change := range entry.Changes {
			fmt.Fprintln(out, indent+"    "+change)
		}
	}
}

// oneLine replaces control characters by spaces, so that a line break in text from
// an operator cannot imitate a further entry.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
}

func orNone(name string) string {
	if name == "" {
		return "(none)"
	}
	return name
}
