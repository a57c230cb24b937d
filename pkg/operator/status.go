package operator

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"balsamhill/pkg/gateway"
	"balsamhill/pkg/membership"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/presetstore"
)

const (
	// adoptionLimit is the promised time for a preset to be in force everywhere.
	adoptionLimit  = 8 * time.Second
	confirmPoll    = 200 * time.Millisecond
	gatewayTimeout = time.Second
	rowLimit       = 1000
)

// gatewayStatus is one gateway in the output of "status".
type gatewayStatus struct {
	ID            string    `json:"id"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failureDomain"`
	State         string    `json:"state"`
	Preset        string    `json:"preset"`
	Revision      uint64    `json:"revision"`
	InForceSince  time.Time `json:"inForceSince"`
	// Reachable says that the gateway itself answered; otherwise the values are
	// those it last wrote to the table service.
	Reachable bool `json:"reachable"`
}

// readRows returns the rows of gateways that were refreshed recently by the
// store's clock.
func readRows(ctx context.Context, table platform.Table) ([]membership.Row, error) {
	result, err := table.Scan(ctx, membership.RowPrefix, "", rowLimit)
	if err != nil {
		return nil, err
	}
	var rows []membership.Row
	for _, stored := range result.Rows {
		var row membership.Row
		err = json.Unmarshal(stored.Value, &row)
		if err != nil {
			return nil, eris.Wrapf(platform.ErrProtocol, "row %q: %v", stored.Key, err)
		}
		if result.Time.Sub(row.WrittenAt) < membership.RowLife {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// askGateways asks every gateway for its status at the same time.
func askGateways(ctx context.Context, rows []membership.Row) []gatewayStatus {
	statuses := make([]gatewayStatus, len(rows))
	var group sync.WaitGroup
	for i, row := range rows {
		group.Go(func() { statuses[i] = askGateway(ctx, row) })
	}
	group.Wait()
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].ID < statuses[j].ID })
	return statuses
}

func askGateway(ctx context.Context, row membership.Row) gatewayStatus {
	status := gatewayStatus{
		ID:            row.ID,
		Region:        row.Region,
		FailureDomain: row.FailureDomain,
		State:         string(row.State),
		Preset:        row.Preset,
		Revision:      row.Revision,
		InForceSince:  row.InForceSince,
	}
	var document gateway.StatusDocument
	err := call(ctx, http.MethodGet, "http://"+row.Admin+"/status", &document)
	if err != nil {
		return status
	}
	status.Reachable = true
	status.State = document.State
	status.Preset = document.Preset
	status.Revision = document.Revision
	status.InForceSince = document.InForceSince
	return status
}

func call(ctx context.Context, method, url string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, gatewayTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if answer == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

// confirm notifies all gateways and waits until all have the revision in force,
// at most adoptionLimit. It returns the gateways that have it and those that do not.
func confirm(ctx context.Context, table platform.Table, revision uint64) (inForce, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, adoptionLimit)
	defer cancel()
	rows, err := readRows(ctx, table)
	if err != nil {
		return nil, nil
	}
	for _, row := range rows {
		// A gateway that cannot be reached learns the revision by itself.
		go func() { _ = call(ctx, http.MethodPost, "http://"+row.Admin+"/notify", nil) }()
	}
	for {
		inForce, missing = nil, nil
		for _, status := range askGateways(ctx, rows) {
			if status.Revision >= revision {
				inForce = append(inForce, status.ID)
			} else {
				missing = append(missing, status.ID)
			}
		}
		if len(missing) == 0 {
			return inForce, nil
		}
		select {
		case <-time.After(confirmPoll):
		case <-ctx.Done():
			return inForce, missing
		}
	}
}

// StatusCommand is "status".
type StatusCommand struct {
	Tool *Tool
	json bool
}

// Name implements subcommands.Command.
func (*StatusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*StatusCommand) Synopsis() string { return "show per gateway what is in force and since when" }

// Usage implements subcommands.Command.
func (*StatusCommand) Usage() string { return "balsamhill status [-json]\n" }

// SetFlags implements subcommands.Command.
func (c *StatusCommand) SetFlags(f *flag.FlagSet) { f.BoolVar(&c.json, "json", false, "print JSON") }

// Execute implements subcommands.Command.
func (c *StatusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.Tool.withStore(ctx, func(ctx context.Context, _ *presetstore.Store, p platform.Platform) subcommands.ExitStatus {
		rows, err := readRows(ctx, p)
		if err != nil {
			return c.Tool.fail(err)
		}
		statuses := askGateways(ctx, rows)
		if c.json {
			return c.Tool.printJSON(statuses)
		}
		for _, status := range statuses {
			reach := ""
			if !status.Reachable {
				reach = "  (not reachable; last written values)"
			}
			fmt.Fprintf(c.Tool.Out, "%-20s %-10s %-9s preset %s revision %d since %s%s\n", status.ID, status.Region,
				status.State, status.Preset, status.Revision, status.InForceSince.Format(time.RFC3339), reach)
		}
		return subcommands.ExitSuccess
	})
}
