package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"balsamhill/pkg/platform/standin"
)

type platformCommand struct {
	listen string
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run the platform stand-in" }
func (*platformCommand) Usage() string {
	return `standin platform -listen ADDR

Runs the table service, the object store and the VM list in memory. Faults are
switched with PUT /standin/faults, for example:
  curl -X PUT -d '{"down":true}' http://127.0.0.1:9000/standin/faults

`
}

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "host:port to listen on")
}

func (c *platformCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "standin: unexpected argument %q\n", f.Arg(0))
		return subcommands.ExitUsageError
	}
	// The timeout ends requests that hang because of a fault.
	return serveUntilDone(ctx, c.listen, standin.New(), lifecycleHooks{shutdownTimeout: time.Second})
}
