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

// errGatewaysNotListed is reported if the gateway rows could not be read before
// the timeout.
var errGatewaysNotListed = eris.New("the table service did not respond in time")

const (
	// propagationTimeout is the time within which an accepted preset is guaranteed to be
	// in force on all gateways.
	propagationTimeout  = 8 * time.Second
	confirmPollInterval = 200 * time.Millisecond
	// listTimeout bounds one scan of the gateway rows.
	listTimeout = 2 * time.Second
	// staleRowAge is the row age above which an unreachable gateway is not waited
	// for: it has missed two refreshes.
	staleRowAge = 3 * membership.RowRefresh
)

// confirmation lists the IDs of gateways by whether a revision is in force on them.
type confirmation struct {
	inForce []string
	// missing lists gateways that may be running and did not confirm in time.
	missing []string
	// gone lists unreachable gateways that have stopped or no longer refresh their
	// rows. After a restart a gateway adopts the revision before it becomes ready.
	gone []string
	// err is set if the gateway rows could not be read.
	err error
}

// confirmer waits until a revision is in force on all gateways.
type confirmer struct {
	table        platform.Table
	timeout      time.Duration
	pollInterval time.Duration
	// offer is the accepted preset that is sent to gateways. It is nil if the
	// change is to a preset that is not in force.
	offer *presetoffer.Offer
	// rows are the gateway rows of the last scan that succeeded; listed is set
	// after the first one.
	rows   []gatewayRow
	listed bool
	// notified holds the admin addresses to which a notification was sent.
	notified map[string]bool
}

func newConfirmer(table platform.Table) *confirmer {
	return &confirmer{table: table, timeout: propagationTimeout, pollInterval: confirmPollInterval, notified: make(map[string]bool)}
}

// listGateways updates the gateway rows and keeps the last ones if the scan fails.
// It is also called before a change, so that the preset can be sent to gateways
// if the store goes down right after it accepted the change.
func (c *confirmer) listGateways(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	rows, err := readRows(ctx, c.table)
	if err == nil {
		c.rows, c.listed = rows, true
	}
}

// confirm notifies all gateways and waits until each has the revision in force or
// is gone, or until the timeout. Each round scans the gateway rows again, because
// gateways may be replaced meanwhile; if the scan fails, the last rows are used.
func (c *confirmer) confirm(ctx context.Context, revision uint64) confirmation {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var last confirmation
	// Gateways that are known already are notified before the store is read again.
	c.notify(ctx, c.rows)
	for {
		c.listGateways(ctx)
		c.notify(ctx, c.rows)
		if c.listed {
			current := classifyGateways(queryGateways(ctx, c.rows), revision)
			// The timeout makes gateways look unreachable, so a round that it interrupts
			// does not replace the result of a complete one.
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

// notify sends each gateway, once per admin address, the accepted preset or a
// request to read the store. Errors are ignored: a gateway that is not reached
// receives the revision from its peers or reads it from the store.
func (c *confirmer) notify(ctx context.Context, rows []gatewayRow) {
	for _, row := range rows {
		if row.Admin == "" || c.notified[row.Admin] {
			continue
		}
		c.notified[row.Admin] = true
		go func() { _ = c.notifyGateway(ctx, "http://"+row.Admin) }()
	}
}

// notifyGateway sends the offer if there is one, and falls back to a request to
// read the store.
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
