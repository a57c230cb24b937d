// Command standin runs stand-ins of what surrounds the gateways: the platform
// and the servers of a service.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&platformCommand{}, "")
	subcommands.Register(&serverCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// serveUntilDone serves a handler until ctx ends and then until all requests in
// flight are complete. It prints the address as the first line.
func serveUntilDone(ctx context.Context, address string, handler http.Handler, started func(address string) error) subcommands.ExitStatus {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return subcommands.ExitFailure
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	err = started(listener.Addr().String())
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return subcommands.ExitFailure
	}
	fmt.Printf("{\"address\":%q}\n", listener.Addr().String())
	<-ctx.Done()
	err = server.Shutdown(context.WithoutCancel(ctx))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
