package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"

	"github.com/google/subcommands"

	"balsamhill/pkg/gateway"
	"balsamhill/pkg/platform/httpplatform"
	"balsamhill/pkg/settings"
)

type serveCommand struct {
	config string
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run one gateway" }
func (*serveCommand) Usage() string {
	return `balsamhilld serve -config FILE

Runs one gateway until SIGTERM or SIGINT, then shuts down gracefully: readiness
fails, and the process ends when all requests in flight are complete.

Example:
  balsamhilld serve -config /etc/balsamhill/gateway.jsonc

`
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "settings file, JSON with comments")
}

func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, status := loadSettings(c.config)
	if status != subcommands.ExitSuccess {
		return status
	}
	log := newLogger(s.Log.Level)
	ignoreSIGHUP(log)
	client := httpplatform.New(s.Platform.URL)
	defer client.Close()
	g, err := gateway.New(s, client, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsamhilld:", err)
		return subcommands.ExitFailure
	}
	log.Info("gateway started", "id", s.VM.ID, "traffic", g.TrafficAddress(), "admin", g.AdminAddress())
	// Scripts that set port 0 read the addresses from this line.
	fmt.Printf("{\"gateway\":%q,\"admin\":%q}\n", g.TrafficURL(), "http://"+g.AdminAddress())
	err = g.Run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsamhilld:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// loadSettings reads the settings file. If it is invalid, it prints all problems and
// returns ExitUsageError.
func loadSettings(path string) (*settings.Settings, subcommands.ExitStatus) {
	if path == "" {
		fmt.Fprintln(os.Stderr, "balsamhilld: -config FILE is required")
		return nil, subcommands.ExitUsageError
	}
	s, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return nil, subcommands.ExitUsageError
	}
	return s, subcommands.ExitSuccess
}

func newLogger(levelName string) *slog.Logger {
	var level slog.Level
	// The settings accept valid names only; on an error the level remains info.
	_ = level.UnmarshalText([]byte(levelName))
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}
