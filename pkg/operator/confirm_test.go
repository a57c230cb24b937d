package operator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/gateway"
	"balsamhill/pkg/membership"
	"balsamhill/pkg/platform/platformtest"
)

// fakeGateway serves the status of a gateway that has adoptedRevision in force
// once it is notified.
func fakeGateway(t *testing.T, id string, adoptedRevision uint64) string {
	t.Helper()
	var revision atomic.Uint64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/notify" {
			revision.Store(adoptedRevision)
			return
		}
		_ = json.NewEncoder(w).Encode(gateway.StatusDocument{ID: id, Revision: revision.Load()})
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func putRow(t *testing.T, table *platformtest.Table, row membership.Row, age time.Duration) {
	t.Helper()
	row.WrittenAt = table.Now.Add(-age)
	value, err := json.Marshal(row)
	assert.NilError(t, err)
	table.Put(membership.RowPrefix+row.ID, value)
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(nil)
	server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

// TestConfirmWithStoppedGateways guards against waiting until the timeout for gateways
// that were killed, stopped or replaced, against one row that cannot be decoded and
// hides all others, and against counting a gateway whose address another gateway has
// taken over.
func TestConfirmWithStoppedGateways(t *testing.T) {
	table := platformtest.New()
	live := fakeGateway(t, "live", 7)
	putRow(t, table, membership.Row{ID: "live", Admin: live, State: membership.StateReady}, time.Second)
	putRow(t, table, membership.Row{ID: "killed", Admin: closedAddress(t), State: membership.StateReady, Revision: 3}, 20*time.Second)
	putRow(t, table, membership.Row{ID: "stopped", Admin: closedAddress(t), State: membership.StateStopping}, time.Second)
	putRow(t, table, membership.Row{ID: "replaced", Admin: live, State: membership.StateReady}, 30*time.Second)
	putRow(t, table, membership.Row{ID: "forgotten", Admin: closedAddress(t)}, membership.RowTTL)
	c := newConfirmer(table)
	found := c.confirm(t.Context(), 7)
	assert.DeepEqual(t, found.inForce, []string{"live"})
	assert.DeepEqual(t, found.gone, []string{"killed", "replaced", "stopped"})
	assert.Equal(t, len(found.missing), 0)

	table.Put(membership.RowPrefix+"bad", []byte("{"))
	putRow(t, table, membership.Row{ID: "behind", Admin: fakeGateway(t, "behind", 6)}, time.Second)
	putRow(t, table, membership.Row{ID: "unreachable", Admin: closedAddress(t)}, time.Second)
	c.timeout, c.pollInterval = time.Second, 50*time.Millisecond
	found = c.confirm(t.Context(), 7)
	assert.DeepEqual(t, found.missing, []string{"bad", "behind", "unreachable"})
	assert.DeepEqual(t, found.inForce, []string{"live"})
}

// TestConfirmWithUnreadableList guards against the report "in force on 0 of 0 gateways"
// when the gateway rows cannot be read, and against an end of the wait after one failed
// scan.
func TestConfirmWithUnreadableList(t *testing.T) {
	table := platformtest.New()
	putRow(t, table, membership.Row{ID: "live", Admin: fakeGateway(t, "live", 7)}, time.Second)
	table.FailReads(true)
	assert.DeepEqual(t, newConfirmer(table).confirm(t.Context(), 7).inForce, []string{"live"})
	table.SetDown(true)
	c := newConfirmer(table)
	c.timeout, c.pollInterval = 50*time.Millisecond, 10*time.Millisecond
	found := c.confirm(t.Context(), 7)
	assert.Assert(t, found.err != nil)
	assert.Equal(t, len(found.inForce), 0)
}
