package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/membership"
	"balsamhill/pkg/platform"
)

// TestPresentOwners guards against removing the claims of a gateway that is paused or cut
// off, and against keeping those of a replaced gateway forever.
func TestPresentOwners(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	row := func(id string, incarnation uint64, age time.Duration) platform.Row {
		value, err := json.Marshal(membership.Row{ID: id, Incarnation: incarnation, WrittenAt: now.Add(-age)})
		assert.NilError(t, err)
		return platform.Row{Value: value}
	}
	rows := platform.ReadResult{Time: now, Rows: []platform.Row{
		row("live", 2, time.Second), row("paused", 1, 2*maxOwnerRowAge), row("gone", 1, 2*maxOwnerRowAge),
	}}
	present, ok := presentOwners(rows, []platform.VM{{ID: "live"}, {ID: "paused"}, {ID: "without-row"}})
	assert.Assert(t, ok)
	cases := []struct {
		desc  string
		owner claim.Incarnation
		want  bool
	}{
		{"live", claim.Incarnation{Gateway: "live", Number: 2}, true},
		{"replaced", claim.Incarnation{Gateway: "live", Number: 1}, false},
		{"paused", claim.Incarnation{Gateway: "paused", Number: 1}, true},
		{"listed without a row", claim.Incarnation{Gateway: "without-row", Number: 9}, true},
		{"old row only", claim.Incarnation{Gateway: "gone", Number: 1}, false},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) { assert.Equal(t, present(c.owner), c.want) })
	}
	_, ok = presentOwners(platform.ReadResult{Rows: []platform.Row{{Value: []byte("{")}}}, nil)
	assert.Assert(t, !ok)
}
