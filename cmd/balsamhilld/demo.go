package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"balsamhill/pkg/demo"
)

type demoCommand struct {
	duration time.Duration
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run a small deployment on loopback ports" }
func (*demoCommand) Usage() string {
	return `balsamhilld demo [-for DURATION]

Runs one gateway, the platform stand-in and stand-in servers on free loopback
ports. The first line on standard output is a JSON object with their addresses.

Example:
  balsamhilld demo -for 20s

`
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.duration, "for", 0, "how long to run; 0 means until SIGTERM")
}

func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.duration)
		defer cancel()
	}
	log := newLogger("info")
	ignoreSIGHUP(log)
	err := demo.Run(ctx, os.Stdout, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsamhilld:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
