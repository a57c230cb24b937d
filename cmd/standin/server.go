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
}

func (*serverCommand) Name() string     { return "server" }
func (*serverCommand) Synopsis() string { return "run a stand-in server of a service" }
func (*serverCommand) Usage() string {
	return `standin server -listen ADDR -service NAME -region NAME [-platform URL] [flags]

Runs one stand-in server. With -platform it enters itself in the VM list of the
platform stand-in.

Example:
  standin server -listen 127.0.0.1:0 -service booking-desk -region khomas -platform http://127.0.0.1:9000

`
}

func (c *serverCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "host:port to listen on")
	f.StringVar(&c.id, "id", "", "VM ID; default: service, region and port")
	f.StringVar(&c.service, "service", "", "name of the service")
	f.StringVar(&c.region, "region", "", "name of the region")
	f.StringVar(&c.failureDomain, "failure-domain", "", "name of the failure domain; default: region-1")
	f.StringVar(&c.platformURL, "platform", os.Getenv("BALSAMHILL_PLATFORM"), "URL of the platform stand-in")
	f.IntVar(&c.slots, "slots", 4, "requests run at a time")
	f.DurationVar(&c.serviceTime, "service-time", 5*time.Millisecond, "time to run one request")
}

func (c *serverCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.service == "" || c.region == "" {
		fmt.Fprintln(os.Stderr, "standin: -service and -region are required")
		return subcommands.ExitUsageError
	}
	if c.failureDomain == "" {
		c.failureDomain = c.region + "-1"
	}
	client := httpplatform.New(c.platformURL)
	defer client.Close()
	config := serverstandin.Config{
		ID:          c.id,
		Service:     c.service,
		Region:      c.region,
		Slots:       c.slots,
		ServiceTime: c.serviceTime,
		Runs:        client,
	}
	if config.ID == "" {
		config.ID = fmt.Sprintf("%s-%s-%d", c.service, c.region, os.Getpid())
	}
	return serveUntilDone(ctx, c.listen, serverstandin.New(config), func(address string) error {
		return c.register(ctx, client, config.ID, address)
	})
}

func (c *serverCommand) register(ctx context.Context, client *httpplatform.Client, id, address string) error {
	if c.platformURL == "" {
		return nil
	}
	return client.RegisterVM(ctx, platform.VM{
		ID:            id,
		Role:          platform.RoleServer,
		Incarnation:   uint64(time.Now().UnixMicro()),
		Service:       c.service,
		Region:        c.region,
		FailureDomain: c.failureDomain,
		Address:       address,
		State:         platform.VMLive,
	})
}
