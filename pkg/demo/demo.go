// Package demo runs a small deployment in one process on free loopback ports: one
// gateway, the platform stand-in and stand-in servers of the three Signline services
// in both regions. Command balsamhilld calls it.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/examples"
	"balsamhill/pkg/callerconn"
	"balsamhill/pkg/gateway"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/httpplatform"
	"balsamhill/pkg/platform/standin"
	"balsamhill/pkg/presetstore"
	"balsamhill/pkg/serverstandin"
	"balsamhill/pkg/settings"
)

// Addresses holds the URLs that Run prints as its first line.
type Addresses struct {
	Gateway  string `json:"gateway"`
	Admin    string `json:"admin"`
	Platform string `json:"platform"`
}

// serversPerRegion is the number of stand-in servers of each service and region.
const serversPerRegion = 2

// Run starts the deployment, prints the URLs as one JSON line when the gateway is ready, and
// serves until ctx ends. It returns after the graceful shutdown.
func Run(ctx context.Context, out io.Writer, log *slog.Logger) error {
	platformAddress, err := serveOnFreePort(standin.New())
	if err != nil {
		return err
	}
	client := httpplatform.New("http://" + platformAddress)
	defer client.Close()
	err = storePresets(ctx, client)
	if err != nil {
		return err
	}
	s, err := demoSettings(platformAddress)
	if err != nil {
		return err
	}
	err = startServers(ctx, client, s)
	if err != nil {
		return err
	}
	g, err := gateway.New(s, client, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	printed := make(chan error, 1)
	go func() {
		printed <- printWhenReady(ctx, g, out, Addresses{
			Gateway:  "http://" + g.TrafficAddress(),
			Admin:    "http://" + g.AdminAddress(),
			Platform: "http://" + platformAddress,
		})
	}()
	err = g.Run(ctx)
	cancel()
	return errors.Join(err, <-printed)
}

// printWhenReady prints the addresses once the gateway is ready. If that fails, it stops the gateway.
func printWhenReady(ctx context.Context, g *gateway.Gateway, out io.Writer, addresses Addresses) error {
	if !g.AwaitReady(ctx) {
		return nil
	}
	err := json.NewEncoder(out).Encode(addresses)
	if err != nil {
		g.Shutdown()
	}
	return eris.Wrap(err, "print addresses")
}

// serveOnFreePort serves a handler on a free loopback port until the process ends.
func serveOnFreePort(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "open listener")
	}
	server := callerconn.NewStandaloneServer("standin", &http.Server{Handler: handler})
	go func() { _ = server.Serve(listener, nil) }()
	return listener.Addr().String(), nil
}

func storePresets(ctx context.Context, client *httpplatform.Client) error {
	store := presetstore.New(client)
	author := func(id string) presetstore.Author {
		return presetstore.Author{Operator: "demo", Why: "first start", WriteID: "demo-" + id, Now: time.Now()}
	}
	for _, document := range examples.Presets() {
		outcome := store.Apply(ctx, author(document.Name), document.Text, nil)
		if outcome.Status != presetstore.Accepted {
			return eris.Wrapf(outcome.Err, "store preset %q", document.Name)
		}
	}
	outcome := store.Use(ctx, author("use"), "ordinary", nil)
	if outcome.Status != presetstore.Accepted {
		return eris.Wrap(outcome.Err, "use preset ordinary")
	}
	return nil
}

// demoSettings returns the Signline example with free ports, without peers and with
// a short shutdown notice.
func demoSettings(platformAddress string) (*settings.Settings, error) {
	s, err := settings.Parse("signline.jsonc", examples.SignlineSettings())
	if err != nil {
		return nil, err
	}
	s.Traffic.Listen = "127.0.0.1:0"
	s.Admin.Listen = "127.0.0.1:0"
	s.Peers.Listen = ""
	s.Peers.MaxGateways = 1
	s.Platform.URL = "http://" + platformAddress
	s.Shutdown.NoticeMillis = 500
	return s, nil
}

// startServers starts stand-in servers of each service in both regions.
func startServers(ctx context.Context, client *httpplatform.Client, s *settings.Settings) error {
	for _, service := range s.Services {
		for _, region := range []string{"khomas", "erongo"} {
			for i := range serversPerRegion {
				vm := platform.VM{
					ID:            fmt.Sprintf("%s-%s-%d", service.Name, region, i+1),
					Role:          platform.RoleServer,
					Incarnation:   1,
					Service:       service.Name,
					Region:        region,
					FailureDomain: fmt.Sprintf("%s-%d", region, i%2+1),
					State:         platform.VMLive,
				}
				err := startServer(ctx, client, service, vm)
				if err != nil {
					return err
				}
			}
		}
	}
	return nil
}

const (
	// demoQueueLimit is how many requests wait at a server of the demo, and demoRetryAfter
	// the pause for which it asks when it sheds further ones.
	demoQueueLimit = 64
	demoRetryAfter = 250 * time.Millisecond
)

func startServer(ctx context.Context, client *httpplatform.Client, service settings.Service, vm platform.VM) error {
	address, err := serveOnFreePort(serverstandin.New(serverstandin.Config{
		ID:          vm.ID,
		Service:     vm.Service,
		Region:      vm.Region,
		Slots:       service.Slots,
		ServiceTime: 5 * time.Millisecond,
		QueueLimit:  demoQueueLimit,
		RetryAfter:  demoRetryAfter,
		Runs:        client,
	}))
	if err != nil {
		return err
	}
	vm.Address = address
	return client.RegisterVM(ctx, vm)
}
