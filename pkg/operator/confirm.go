package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/membership"
	"balsamhill/pkg/platform"
	"balsamhill/pkg/presetoffer"
)

// errGatewaysNotListed is reported if no list of gateways could be read in time.
var errGatewaysNotListed = eris.New("the table service did not answer")

const (
	// adoptionTimeout is the promised time for a preset to be in force everywhere.
	adoptionTimeout     = 8 * time.Second
	confirmPollInterval = 200 * time.Millisecond
	// listTimeout bounds one reading of the gateway rows.
	listTimeout = 2 * time.Second
	// staleRowAge is the age of a row from which a gateway that does not answer is
	// not waited for: it has missed two refreshes.
	staleRowAge = 3 * membership.RowRefresh
)

// confirmation says on which gateways a revision is in force, by their IDs.
type confirmation struct {
	inForce []string
	// missing gateways may still be running and did not confirm in time.
	missing []string
	// gone gateways do not answer, and have stopped or no longer refresh their
	// rows. When they start again they adopt the revision before they are ready.
	gone []string
	// err is set if the gateways could not be listed.
	err error
}

// confirmer waits until a revision is in force on all gateways.
type confirmer struct {
	table        platform.Table
	timeout      time.Duration
	pollInterval time.Duration
	// offer is the accepted preset that gateways are handed, nil if the change
	// was to a preset that is not in force.
	offer *presetoffer.Offer
	// rows are the gateways as last listed.
	rows   []gatewayRow
	listed bool
	// notified holds the admin addresses that were told to read the store.
	notified map[string]bool
}

func newConfirmer(table platform.Table) *confirmer {
	return &confirmer{table: table, timeout: adoptionTimeout, pollInterval: confirmPollInterval, notified: make(map[string]bool)}
}

// listGateways reads the gateways before the change, so that they can be handed the
// preset also if the store goes down right after it accepted the change.
func (c *confirmer) listGateways(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	rows, err := readRows(ctx, c.table)
	if err == nil {
		c.rows, c.listed = rows, true
	}
}

// confirm notifies all gateways and waits until each has the revision in force or
// is gone, at most for the limit. It reads the list of gateways each time,
// because they may be replaced meanwhile; if that fails it goes on with the
// last list.
func (c *confirmer) confirm(ctx context.Context, revision uint64) confirmation {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var last confirmation
	// Gateways that are known already are told before the store is asked again.
	c.notify(ctx, c.rows)
	for {
		c.listGateways(ctx)
		c.notify(ctx, c.rows)
		if c.listed {
			current := classifyGateways(queryGateways(ctx, c.rows), revision)
			// A round that the time limit cut short says less than the one before.
			if ctx.Err() == nil || last.empty() {
				last = current
			}
			if len(last.missing) == 0 {
				return last
			}
		}
		select {
		case <-time.After(c.pollInterval):
		case <-ctx.Done():
			if !c.listed {
				last.err = errGatewaysNotListed
			}
			return last
		}
	}
}

func (c confirmation) empty() bool {
	return len(c.inForce)+len(c.missing)+len(c.gone) == 0
}

// notify hands gateways the accepted preset, or makes them read the store. One
// that cannot be reached learns the revision from its peers or from the store.
func (c *confirmer) notify(ctx context.Context, rows []gatewayRow) {
	for _, row := range rows {
		if row.Admin == "" || c.notified[row.Admin] {
			continue
		}
		c.notified[row.Admin] = true
		go func() { _ = c.notifyGateway(ctx, "http://"+row.Admin) }()
	}
}

func (c *confirmer) notifyGateway(ctx context.Context, admin string) error {
	if c.offer != nil {
		err := sendRequest(ctx, http.MethodPost, admin+presetoffer.Path, c.offer, nil)
		if err == nil {
			return nil
		}
	}
	return sendRequest(ctx, http.MethodPost, admin+"/notify", nil, nil)
}

func classifyGateways(statuses []gatewayStatus, revision uint64) confirmation {
	var result confirmation
	for _, status := range statuses {
		stopped := status.State == string(membership.StateStopping) || status.age > staleRowAge
		switch {
		case status.Revision >= revision:
			result.inForce = append(result.inForce, status.ID)
		case !status.Reachable && stopped:
			result.gone = append(result.gone, status.ID)
		default:
			result.missing = append(result.missing, status.ID)
		}
	}
	return result
}
