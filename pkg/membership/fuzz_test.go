package membership

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// FuzzRow guards against a row that makes the gateway itself a member, and against
// one that removes a gateway whose heartbeats arrive.
func FuzzRow(f *testing.F) {
	f.Add([]byte(`{"id":"gw-2","incarnation":5,"region":"khomas","peer":"127.0.0.1:1","state":"ready"}`))
	f.Add([]byte(`{"id":"self","incarnation":9}`))
	f.Add([]byte(`{"id":"live","incarnation":1,"writtenAt":"9999-12-31T23:59:59Z"}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var row Row
		if json.Unmarshal(data, &row) != nil || row.ID == "" {
			return
		}
		view := NewView(Gateway{ID: "self", Incarnation: 1, Region: "khomas"})
		view.RecordHeartbeat(1, Gateway{ID: "live", Incarnation: 2, Region: "khomas"})
		view.ApplyRows(2, time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), []Row{row})
		view.Expire(3)
		found := false
		for _, g := range view.KnownGateways() {
			assert.Assert(t, g.ID != "self")
			found = found || g.ID == "live"
		}
		assert.Assert(t, found)
		ids, _ := view.GatewaysWithPossibleAttempts()
		assert.Assert(t, len(ids) >= 1)
	})
}
