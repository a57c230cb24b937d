package operator

import (
	"context"
	"encoding/json"
	"flag"
	"os"

	"github.com/google/subcommands"

	"balsamhill/pkg/explain"
)

// ExplainCommand implements the subcommand "explain", which prints the log lines of
// one request from the logs of several gateways.
type ExplainCommand struct {
	Tool    *Tool
	request string
	json    bool
}

// Name implements subcommands.Command.
func (*ExplainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*ExplainCommand) Synopsis() string { return "follow one request through logs of gateways" }

// Usage implements subcommands.Command.
func (*ExplainCommand) Usage() string {
	return `balsamhill explain -id ID [-json] FILE...

Prints what the logs say of the request with this id, in order of time.

`
}

// SetFlags implements subcommands.Command.
func (c *ExplainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.request, "id", "", "id of the request")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (c *ExplainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.request == "" || f.NArg() == 0 {
		return c.Tool.usageError("explain: -id ID and at least one FILE are required")
	}
	timeline := explain.Timeline{Request: c.request}
	for _, name := range f.Args() {
		err := readLog(&timeline, name)
		if err != nil {
			return c.Tool.fail(err)
		}
	}
	timeline.Sort()
	var err error
	if c.json {
		err = json.NewEncoder(c.Tool.Out).Encode(timeline)
	} else {
		err = timeline.Write(c.Tool.Out)
	}
	if err != nil {
		return c.Tool.fail(err)
	}
	if len(timeline.Events) == 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func readLog(timeline *explain.Timeline, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return timeline.Read(name, file)
}
