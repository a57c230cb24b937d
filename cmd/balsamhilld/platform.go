package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"

	"github.com/google/subcommands"

	"balsamhill/platform"
)

type platformCommand struct{}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run one gateway on the users' platform" }
func (*platformCommand) Usage() string {
	return `balsamhilld platform

Runs one gateway with the settings, the store and the server entries of the
users' platform; docs/platform.md describes it. The path of the settings file is
in the environment variable BALSAMHILL_NODE_FILE. Logs go to standard output.

`
}

func (*platformCommand) SetFlags(*flag.FlagSet) {}

func (*platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log := slog.New(slog.NewJSONHandler(os.Stdout, nil))
	err := platform.Run(ctx, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsamhilld:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
