package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"balsamhill/pkg/boundedlog"
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
SIGHUP reads the settings again; SIGTERM shuts down gracefully.

`
}

func (*platformCommand) SetFlags(*flag.FlagSet) {}

func (*platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	writer := boundedlog.NewWriter(os.Stdout)
	defer writer.Close()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	err := platform.Run(ctx, reload, slog.New(boundedlog.New(writer, nil)))
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsamhilld:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
