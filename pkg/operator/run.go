package operator

import (
	"context"
	"errors"
	"flag"
	"io"

	"github.com/google/subcommands"
)

// Run runs the operator tool with the arguments after the program's name and
// returns the exit code: 0 for success, 1 for a refused or failed command, 2 for a
// usage error. defaultPlatform is the default of -platform; the program takes it
// from the environment.
func Run(ctx context.Context, args []string, defaultPlatform string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("balsamhill", flag.ContinueOnError)
	flags.SetOutput(errOut)
	platformURL := flags.String("platform", defaultPlatform, "URL of the platform")
	tool := &Tool{PlatformURL: platformURL, Out: out, Err: errOut}
	commander := subcommands.NewCommander(flags, "balsamhill")
	commander.Output, commander.Error = out, errOut
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&PresetCommand{Tool: tool}, "")
	commander.Register(&StatusCommand{Tool: tool}, "")
	commander.Register(&AuditCommand{Tool: tool}, "")
	commander.Register(&ExplainCommand{Tool: tool}, "")
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return int(subcommands.ExitSuccess)
	}
	if err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}
