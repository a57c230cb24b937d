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

// errNotListed is reported if no list of gateways could be read in time.
var errNotListed = eris.New("the table service did not answer")

const (
	// adoptionLimit is the promised time for a preset to be in force everywhere.
	adoptionLimit = 8 * time.Second
	confirmPoll   = 200 * time.Millisecond
	// listTimeout bounds one reading of the gateway rows.
	listTimeout = 2 * time.Second
	// goneAfter is the age of a row from which a gateway that does not answer is
	// not waited for: it has missed two refreshes.
	goneAfter = 3 * membership.RowRefresh
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
	table platform.Table
	limit time.Duration
	poll  time.Duration
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
	return &confirmer{table: table, limit: adoptionLimit, poll: confirmPoll, notified: make(map[string]bool)}
}

// list reads the gateways before the change, so that they can be handed the
// preset also if the store goes down right after it accepted the change.
func (c *confirmer) list(ctx context.Context) {
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
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	var last confirmation
	// Gateways that are known already are told before the store is asked again.
	c.notify(ctx, c.rows)
	for {
		c.list(ctx)
		c.notify(ctx, c.rows)
		if c.listed {
			now := classify(askGateways(ctx, c.rows), revision)
			// A round that the time limit cut short says less than the one before.
			if ctx.Err() == nil || last.empty() {
				last = now
			}
			if len(last.missing) == 0 {
				return last
			}
		}
		select {
		case <-time.After(c.poll):
		case <-ctx.Done():
			if !c.listed {
				last.err = errNotListed
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
		go func() { _ = c.tell(ctx, "http://"+row.Admin) }()
	}
}

func (c *confirmer) tell(ctx context.Context, admin string) error {
	if c.offer != nil {
		err := call(ctx, http.MethodPost, admin+presetoffer.Path, c.offer, nil)
		if err == nil {
			return nil
		}
	}
	return call(ctx, http.MethodPost, admin+"/notify", nil, nil)
}

func classify(statuses []gatewayStatus, revision uint64) confirmation {
	var found confirmation
	for _, status := range statuses {
		stopped := status.State == string(membership.StateStopping) || status.age > goneAfter
		switch {
		case status.Revision >= revision:
			found.inForce = append(found.inForce, status.ID)
		case !status.Reachable && stopped:
			found.gone = append(found.gone, status.ID)
		default:
			found.missing = append(found.missing, status.ID)
		}
	}
	return found
}
