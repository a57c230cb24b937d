package standin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
)

// Guards against a late view of the list that misses VMs which were there, shows
// later states, or keeps history without bound.
func TestListAt(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	live := platform.VM{ID: "a", State: platform.VMLive}
	leaving := platform.VM{ID: "a", State: platform.VMLeaving}
	other := platform.VM{ID: "b", State: platform.VMLive}
	list := newVMList()
	list.put(live, at(1))
	list.put(other, at(2))
	list.put(leaving, at(3))
	list.remove("a", at(4))
	tests := []struct {
		desc string
		at   int
		want []platform.VM
	}{
		{desc: "before the first", at: 0, want: []platform.VM{}},
		{desc: "one", at: 1, want: []platform.VM{live}},
		{desc: "two", at: 2, want: []platform.VM{live, other}},
		{desc: "leaving", at: 3, want: []platform.VM{leaving, other}},
		{desc: "removed", at: 4, want: []platform.VM{other}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			assert.DeepEqual(t, list.at(at(test.at)), test.want)
		})
	}
	for i := range 1000 {
		list.put(other, at(10_000*(i+1)))
	}
	assert.Assert(t, len(list.history["b"]) <= 2)
}
