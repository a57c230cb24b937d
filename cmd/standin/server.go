package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/httpplatform"
	"balsamhill/pkg/serverstandin"
)

type serverCommand struct {
	listen        string
	id            string
	service       string
	region        string
	failureDomain string
	platformURL   string
	slots         int
	serviceTime   time.Duration
	probeTime     time.Duration
	coldStart     time.Duration
	queueLimit    int64
	retryAfter    time.Duration
	drainNotice   time.Duration
}

const (
	// crashExitCode distinguishes a crash on request from other failures.
	crashExitCode = 3
	// defaultDrainNotice exceeds the 5 s within which gateways must stop sending new
	// requests to a server that is leaving.
	defaultDrainNotice = 6 * time.Second
	listTimeout        = 2 * time.Second
)

func (*serverCommand) Name() string     { return "server" }
func (*serverCommand) Synopsis() string { return "run a stand-in server of a service" }
func (*serverCommand) Usage() string {
	return `standin server -listen ADDR -service NAME -region NAME [-platform URL] [flags]

Runs one stand-in server. With -platform it registers itself in the VM list of the
platform stand-in.

On SIGTERM it announces that it is draining, with the header Balsamhill-Draining
and the state "leaving" in the VM list, goes on serving for -drain-notice,
finishes the requests in flight, leaves the list and exits with code 0. A request
with the header X-Standin-Crash: 1 ends the process with code 3 once it starts
to run. A deadline in X-Request-Timeout-Ms (milliseconds) is honoured. Requests
that were shed carry Balsamhill-Outcome: not-run.

Example:
  standin server -listen 127.0.0.1:0 -service booking-desk -region khomas -platform http://127.0.0.1:9000

`
}

func (c *serverCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "host:port to listen on")
	f.StringVar(&c.id, "id", "", "VM ID; default: service, region and process ID")
	f.StringVar(&c.service, "service", "", "name of the service")
	f.StringVar(&c.region, "region", "", "name of the region")
	f.StringVar(&c.failureDomain, "failure-domain", "", "name of the failure domain; default: region-1")
	f.StringVar(&c.platformURL, "platform", os.Getenv("BALSAMHILL_PLATFORM"), "URL of the platform stand-in")
	f.IntVar(&c.slots, "slots", 4, "requests run at a time")
	f.DurationVar(&c.serviceTime, "service-time", 5*time.Millisecond, "time to run one request")
	f.DurationVar(&c.probeTime, "probe-time", 0, "time that a load probe occupies a slot")
	f.DurationVar(&c.coldStart, "cold-start", 0, "time after the start in which requests take 10 times as long")
	f.Int64Var(&c.queueLimit, "queue-limit", 0, "requests that may wait for a slot; more are shed with 503; 0 means no limit")
	f.DurationVar(&c.retryAfter, "retry-after", 0, "pause for which a request that is shed asks the gateway; 0 means none")
	f.DurationVar(&c.drainNotice, "drain-notice", defaultDrainNotice, "time to go on serving after SIGTERM")
}

func (c *serverCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.service == "" || c.region == "" {
		fmt.Fprintln(os.Stderr, "standin: -service and -region are required")
		return subcommands.ExitUsageError
	}
	if f.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "standin: unexpected argument %q\n", f.Arg(0))
		return subcommands.ExitUsageError
	}
	if c.failureDomain == "" {
		c.failureDomain = c.region + "-1"
	}
	if c.id == "" {
		c.id = fmt.Sprintf("%s-%s-%d", c.service, c.region, os.Getpid())
	}
	config := serverstandin.Config{
		ID:          c.id,
		Service:     c.service,
		Region:      c.region,
		Slots:       c.slots,
		ServiceTime: c.serviceTime,
		ProbeTime:   c.probeTime,
		ColdStart:   c.coldStart,
		QueueLimit:  c.queueLimit,
		RetryAfter:  c.retryAfter,
		Crash:       func() { os.Exit(crashExitCode) },
	}
	if c.platformURL == "" {
		return serveUntilDone(ctx, c.listen, serverstandin.New(config), lifecycleHooks{})
	}
	client := httpplatform.New(c.platformURL)
	defer client.Close()
	config.Runs = client
	server := serverstandin.New(config)
	entry := &listEntry{client: client, vm: c.vm()}
	return serveUntilDone(ctx, c.listen, server, lifecycleHooks{
		started: func(address string) error {
			entry.vm.Address = address
			return entry.register(platform.VMLive)
		},
		stopping: func() {
			server.SetDraining(true)
			entry.report(entry.register(platform.VMLeaving))
			time.Sleep(c.drainNotice)
		},
		stopped: func() { entry.report(entry.remove()) },
	})
}

func (c *serverCommand) vm() platform.VM {
	return platform.VM{
		ID:            c.id,
		Role:          platform.RoleServer,
		Incarnation:   uint64(time.Now().UnixMicro()),
		Service:       c.service,
		Region:        c.region,
		FailureDomain: c.failureDomain,
	}
}

// listEntry is the server's entry in the platform's VM list.
type listEntry struct {
	client *httpplatform.Client
	vm     platform.VM
}

func (e *listEntry) register(state platform.VMState) error {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	e.vm.State = state
	return e.client.RegisterVM(ctx, e.vm)
}

func (e *listEntry) remove() error {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	return e.client.RemoveVM(ctx, e.vm.ID)
}

// report prints an error of the VM list, which does not stop the shutdown.
func (e *listEntry) report(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin: VM list:", err)
	}
}
