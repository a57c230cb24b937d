package operator

import (
	"context"
	"net/http"
	"time"

	"balsamhill/pkg/membership"
	"balsamhill/pkg/platform"
)

const (
	// adoptionLimit is the promised time for a preset to be in force everywhere.
	adoptionLimit = 8 * time.Second
	confirmPoll   = 200 * time.Millisecond
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
	// notified holds the admin addresses that were told to read the store.
	notified map[string]bool
}

func newConfirmer(table platform.Table) *confirmer {
	return &confirmer{table: table, limit: adoptionLimit, poll: confirmPoll, notified: make(map[string]bool)}
}

// confirm notifies all gateways and waits until each has the revision in force or
// is gone, at most for the limit. It reads the list of gateways each time,
// because they may be replaced meanwhile; if that fails it goes on with the
// last list.
func (c *confirmer) confirm(ctx context.Context, revision uint64) confirmation {
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	var rows []gatewayRow
	var last confirmation
	listed := false
	for {
		read, err := readRows(ctx, c.table)
		if err == nil {
			rows, listed = read, true
		}
		c.notify(ctx, rows)
		if listed {
			now := classify(askGateways(ctx, rows), revision)
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
			if !listed {
				last.err = err
			}
			return last
		}
	}
}

func (c confirmation) empty() bool {
	return len(c.inForce)+len(c.missing)+len(c.gone) == 0
}

// notify makes gateways read the store at once. One that cannot be reached
// learns the revision by itself.
func (c *confirmer) notify(ctx context.Context, rows []gatewayRow) {
	for _, row := range rows {
		if row.Admin == "" || c.notified[row.Admin] {
			continue
		}
		c.notified[row.Admin] = true
		go func() { _ = call(ctx, http.MethodPost, "http://"+row.Admin+"/notify", nil) }()
	}
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
