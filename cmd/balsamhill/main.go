// Command balsamhill is the operator tool.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"

	"github.com/google/subcommands"

	"balsamhill/pkg/operator"
)

func main() {
	platformURL := flag.String("platform", os.Getenv("BALSAMHILL_PLATFORM"), "URL of the platform")
	tool := &operator.Tool{PlatformURL: platformURL, Out: os.Stdout, Err: os.Stderr}
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&operator.PresetCommand{Tool: tool}, "")
	subcommands.Register(&operator.StatusCommand{Tool: tool}, "")
	subcommands.Register(&operator.AuditCommand{Tool: tool}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
