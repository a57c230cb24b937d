// Command balsamhill is the operator tool: it shows and changes presets and shows the
// state of gateways. Package operator implements it.
package main

import (
	"context"
	"os"
	"os/signal"

	"balsamhill/pkg/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	status := operator.Run(ctx, os.Args[1:], os.Getenv("BALSAMHILL_PLATFORM"), os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
