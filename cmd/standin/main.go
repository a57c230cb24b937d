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

// lifecycle holds what a program does around serving; all functions may be nil.
type lifecycle struct {
	// started runs when the listener is open.
	started func(address string) error
	// stopping runs at the signal to end; the listener stays open until it returns.
	stopping func()
	// stopped runs after the last request.
	stopped func()
	// grace bounds the wait for requests in flight; 0 means no limit.
	grace time.Duration
}

// serveUntilDone serves a handler until ctx ends and then until all requests in
// flight are complete. It prints the address as the first line.
func serveUntilDone(ctx context.Context, address string, handler http.Handler, life lifecycle) subcommands.ExitStatus {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fail(err)
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	if life.started != nil {
		err = life.started(listener.Addr().String())
		if err != nil {
			return fail(err)
		}
	}
	fmt.Printf("{\"address\":%q}\n", listener.Addr().String())
	<-ctx.Done()
	if life.stopping != nil {
		life.stopping()
	}
	err = shutDown(ctx, server, life.grace)
	if life.stopped != nil {
		life.stopped()
	}
	if err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// shutDown waits for requests in flight. After the grace period it closes their
// connections.
func shutDown(ctx context.Context, server *http.Server, grace time.Duration) error {
	ctx = context.WithoutCancel(ctx)
	if grace <= 0 {
		return server.Shutdown(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	if server.Shutdown(ctx) == nil {
		return nil
	}
	return server.Close()
}

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "standin:", err)
	return subcommands.ExitFailure
}
