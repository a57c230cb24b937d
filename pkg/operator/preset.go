package operator

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/preset"
	"balsamhill/pkg/presetstore"
)

// PresetCommand implements "preset", which has subcommands of its own.
type PresetCommand struct {
	Tool *Tool
}

// Name implements subcommands.Command.
func (*PresetCommand) Name() string { return "preset" }

// Synopsis implements subcommands.Command.
func (*PresetCommand) Synopsis() string { return "list, show, apply and use presets" }

// Usage implements subcommands.Command.
func (*PresetCommand) Usage() string {
	return `balsamhill [-platform URL] preset list | show NAME | apply -f FILE | use NAME | current  [-json] [-why TEXT]

Examples:
  balsamhill preset list
  balsamhill preset show peak > peak.jsonc       (keep its first line when editing)
  balsamhill preset apply -f peak.jsonc -why "shorter queues"
  balsamhill preset use peak -why "exam week"

`
}

// SetFlags implements subcommands.Command.
func (*PresetCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *PresetCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	commander := subcommands.NewCommander(f, "balsamhill preset")
	commander.Output, commander.Error = c.Tool.Out, c.Tool.Err
	commander.Register(&listCommand{tool: c.Tool}, "")
	commander.Register(&showCommand{tool: c.Tool}, "")
	commander.Register(&applyCommand{tool: c.Tool}, "")
	commander.Register(&useCommand{tool: c.Tool}, "")
	commander.Register(&currentCommand{tool: c.Tool}, "")
	return commander.Execute(ctx)
}

// presetSummary is one entry of "preset list -json" and the output of
// "preset current -json".
type presetSummary struct {
	Name        string `json:"name"`
	Revision    uint64 `json:"revision"`
	Kind        string `json:"kind,omitempty"`
	Description string `json:"description,omitempty"`
	InForce     bool   `json:"inForce"`
}

type listCommand struct {
	tool *Tool
	json bool
}

func (*listCommand) Name() string               { return "list" }
func (*listCommand) Synopsis() string           { return "list presets" }
func (*listCommand) Usage() string              { return "preset list [-json]\n" }
func (c *listCommand) SetFlags(f *flag.FlagSet) { f.BoolVar(&c.json, "json", false, "print JSON") }

func (c *listCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.tool.runReadOnly(ctx, f, func(ctx context.Context, store *presetstore.Store, _ platform.Table) subcommands.ExitStatus {
		list, err := store.List(ctx)
		if err != nil {
			return c.tool.fail(err)
		}
		head, err := store.Head(ctx)
		if err != nil {
			return c.tool.fail(err)
		}
		summaries := make([]presetSummary, 0, len(list))
		for _, stored := range list {
			summaries = append(summaries, summarize(stored, head))
		}
		if c.json {
			return c.tool.printJSON(summaries)
		}
		for _, summary := range summaries {
			marker := " "
			if summary.InForce {
				marker = "*"
			}
			fmt.Fprintf(c.tool.Out, "%s %-20s revision %-6d %s\n", marker, summary.Name, summary.Revision, summary.Description)
		}
		return subcommands.ExitSuccess
	})
}

func summarize(stored presetstore.StoredPreset, head presetstore.Head) presetSummary {
	summary := presetSummary{Name: stored.Name, Revision: stored.Revision, InForce: stored.Name == head.Name}
	parsed, err := preset.Parse([]byte(stored.Document))
	if err == nil {
		summary.Kind = string(parsed.Kind)
		summary.Description = parsed.Description
	}
	return summary
}

type showCommand struct {
	tool *Tool
	json bool
}

func (*showCommand) Name() string               { return "show" }
func (*showCommand) Synopsis() string           { return "print a preset's document" }
func (*showCommand) Usage() string              { return "preset show NAME [-json]\n" }
func (c *showCommand) SetFlags(f *flag.FlagSet) { f.BoolVar(&c.json, "json", false, "print JSON") }

func (c *showCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, ok := c.tool.parseNameArgument(f)
	if !ok {
		return subcommands.ExitUsageError
	}
	return c.tool.runReadOnly(ctx, f, func(ctx context.Context, store *presetstore.Store, _ platform.Table) subcommands.ExitStatus {
		stored, err := store.Get(ctx, name)
		if err != nil {
			return c.tool.fail(err)
		}
		if c.json {
			return c.tool.printJSON(stored)
		}
		document := preset.WithBase(preset.Base{Name: stored.Name, Revision: stored.Revision}, []byte(stored.Document))
		if !bytes.HasSuffix(document, []byte("\n")) {
			document = append(document, '\n')
		}
		_, err = c.tool.Out.Write(document)
		if err != nil {
			return c.tool.fail(err)
		}
		return subcommands.ExitSuccess
	})
}

type applyCommand struct {
	tool *Tool
	file string
	why  string
	base *uint64
	json bool
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "store a new or edited preset" }
func (*applyCommand) Usage() string {
	return `preset apply -f FILE [-base REVISION] [-why TEXT] [-json]

Refuses the change if the preset was changed since the revision that was edited.
That revision is in the first line that "preset show" prints, or in -base.
`
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "f", "", "file with the preset, JSON with comments")
	f.StringVar(&c.why, "why", "", "reason for the audit trail")
	addBaseFlag(f, &c.base, "revision of the preset that was edited, 0 for a new one")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.file == "" {
		return c.tool.usageError("-f FILE is required")
	}
	if f.NArg() > 0 {
		return c.tool.usageError("unexpected argument %q", f.Arg(0))
	}
	author := newAuthor(c.why)
	document, err := os.ReadFile(c.file)
	if err != nil {
		return c.tool.report(author, presetstore.Outcome{Status: presetstore.Refused, Err: err}, confirmation{}, c.json)
	}
	return c.tool.runChange(ctx, author, c.json, func(ctx context.Context, store *presetstore.Store) presetstore.Outcome {
		return store.Apply(ctx, author, document, c.base)
	})
}

type useCommand struct {
	tool *Tool
	why  string
	base *uint64
	json bool
}

func (*useCommand) Name() string     { return "use" }
func (*useCommand) Synopsis() string { return "put a preset in force" }
func (*useCommand) Usage() string {
	return `preset use NAME [-base REVISION] [-why TEXT] [-json]

Refuses the change if another one came first. With -base that covers the time
since "preset current" printed the revision.
`
}

func (c *useCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.why, "why", "", "reason for the audit trail")
	addBaseFlag(f, &c.base, "revision in force that the choice is based on")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *useCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, ok := c.tool.parseNameArgument(f)
	if !ok {
		return subcommands.ExitUsageError
	}
	author := newAuthor(c.why)
	return c.tool.runChange(ctx, author, c.json, func(ctx context.Context, store *presetstore.Store) presetstore.Outcome {
		return store.Use(ctx, author, name, c.base)
	})
}

type currentCommand struct {
	tool *Tool
	json bool
}

func (*currentCommand) Name() string               { return "current" }
func (*currentCommand) Synopsis() string           { return "print the preset in force" }
func (*currentCommand) Usage() string              { return "preset current [-json]\n" }
func (c *currentCommand) SetFlags(f *flag.FlagSet) { f.BoolVar(&c.json, "json", false, "print JSON") }

func (c *currentCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.tool.runReadOnly(ctx, f, func(ctx context.Context, store *presetstore.Store, _ platform.Table) subcommands.ExitStatus {
		version, err := store.InForce(ctx)
		if err != nil {
			return c.tool.fail(err)
		}
		summary := presetSummary{
			Name:        version.Preset.Name,
			Revision:    version.Revision,
			Kind:        string(version.Preset.Kind),
			Description: version.Preset.Description,
			InForce:     true,
		}
		if c.json {
			return c.tool.printJSON(summary)
		}
		fmt.Fprintf(c.tool.Out, "%s, revision %d\n", summary.Name, summary.Revision)
		return subcommands.ExitSuccess
	})
}
