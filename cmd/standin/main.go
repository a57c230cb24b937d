// Command standin runs stand-ins of the systems around the gateways, for tests and
// demos: the platform and the servers of a service.
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

	"balsamhill/pkg/callerconn"
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

// lifecycleHooks holds functions that serveUntilDone calls when the listener opens
// and during the shutdown. Each of them may be nil.
type lifecycleHooks struct {
	// started is called when the listener is open.
	started func(address string) error
	// stopping is called when ctx ends. The listener stays open until it returns.
	stopping func()
	// stopped is called after the last request.
	stopped func()
	// shutdownTimeout bounds the wait for requests in flight. 0 means no timeout.
	shutdownTimeout time.Duration
}

// serveUntilDone prints the address as the first line, serves a handler until ctx
// ends, and then waits until all requests in flight are complete.
func serveUntilDone(ctx context.Context, address string, handler http.Handler, hooks lifecycleHooks) subcommands.ExitStatus {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fail(err)
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := callerconn.NewStandaloneServer("standin", &http.Server{Handler: handler, Protocols: protocols})
	go func() { _ = server.Serve(listener, nil) }()
	if hooks.started != nil {
		err = hooks.started(listener.Addr().String())
		if err != nil {
			return fail(err)
		}
	}
	fmt.Printf("{\"address\":%q}\n", listener.Addr().String())
	<-ctx.Done()
	if hooks.stopping != nil {
		hooks.stopping()
	}
	err = shutdownServer(ctx, server.Server, hooks.shutdownTimeout)
	if hooks.stopped != nil {
		hooks.stopped()
	}
	if err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// shutdownServer waits for requests in flight. After the timeout it closes their
// connections.
func shutdownServer(ctx context.Context, server *http.Server, timeout time.Duration) error {
	ctx = context.WithoutCancel(ctx)
	if timeout <= 0 {
		return server.Shutdown(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
