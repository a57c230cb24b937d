package standin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
)

// Guards against a lagging list that misses VMs, shows later states, or keeps
// history without bound.
func TestListWithLag(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	live, leaving := platform.VM{ID: "a", State: platform.VMLive}, platform.VM{ID: "a", State: platform.VMLeaving}
	other := platform.VM{ID: "b", State: platform.VMLive}
	list := newVMList()
	list.put(live, at(1))
	list.put(other, at(2))
	list.put(leaving, at(3))
	list.remove("a", at(4))
	for second, want := range [][]platform.VM{{}, {live}, {live, other}, {leaving, other}, {other}} {
		assert.DeepEqual(t, list.at(at(second)), want)
	}
	for i := range 1000 {
		list.put(other, at(10_000*(i+1)))
	}
	assert.Assert(t, len(list.history["b"]) <= 2)
}
