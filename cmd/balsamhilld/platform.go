package main

import (
	"context"
	"flag"
	"fmt"
	standardlog "log"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"balsamhill/pkg/boundedlog"
	"balsamhill/platform"
)

type platformCommand struct {
	metricsPort int
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run one gateway on the users' platform" }
func (*platformCommand) Usage() string {
	return `balsamhilld platform [-metrics PORT]

Runs one gateway with the settings, the store and the server entries of the
users' platform; docs/platform.md describes it. The path of the settings file is
in the environment variable ` + platform.SettingsVariable + `. Logs go to standard output.
SIGHUP reads the settings again; SIGTERM shuts down gracefully.

`
}

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.metricsPort, "metrics", 0, "port of the machine's address for /metrics; 0 serves them only on the listener for other gateways")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	writer := boundedlog.NewWriter(os.Stdout)
	defer writer.Close()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	log := slog.New(boundedlog.New(writer, nil))
	slog.SetDefault(log)
	// net/http writes some errors, with bytes of the peer, to the standard logger.
	standardlog.SetFlags(0)
	standardlog.SetOutput(boundedlog.LibraryOutput(log))
	err := platform.Run(ctx, platform.Options{Reload: reload, MetricsPort: c.metricsPort, Log: log})
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsamhilld:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
