package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
)

const (
	second = int64(time.Second)
	now    = second
)

func ids(r *Registry) []string {
	var list []string
	for _, vm := range r.Servers() {
		list = append(list, vm.ID)
	}
	return list
}

// TestMissingEntries guards against servers that are removed because their
// entries expired while the store was down, and against servers that left and stay
// in use.
func TestMissingEntries(t *testing.T) {
	tests := []struct {
		desc string
		run  func(*Registry)
		want []string
	}{
		{"left in normal operation", func(r *Registry) { r.Remove(10*second, "a") }, []string{"b"}},
		{"expired during an outage", func(r *Registry) {
			r.StoreRecovered(10 * second)
			r.Remove(10*second, "a")
			r.Expire(11 * second)
		}, []string{"a", "b"}},
		{"expired and written again", func(r *Registry) {
			r.StoreRecovered(10 * second)
			r.Remove(10*second, "a")
			r.Put(now, Entry{ID: "a", Started: 1})
			r.Expire(20 * second)
		}, []string{"a", "b"}},
		{"still missing 2.2 s after the recovery", func(r *Registry) {
			r.StoreRecovered(10 * second)
			r.Remove(10*second, "a")
			r.Expire(10*second + int64(RecoveryGracePeriod))
		}, []string{"b"}},
		{"left long after the recovery", func(r *Registry) {
			r.StoreRecovered(10 * second)
			r.Remove(13*second, "a")
		}, []string{"b"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			r := New(nil)
			r.Put(now, Entry{ID: "a", Started: 1})
			r.Put(now, Entry{ID: "b", Started: 1})
			test.run(r)
			assert.DeepEqual(t, ids(r), test.want)
		})
	}
}

// TestOldIncarnation guards against a delayed entry of a server's earlier start
// that replaces the current one.
func TestOldIncarnation(t *testing.T) {
	r := New(map[string]string{"d": "r"})
	assert.Equal(t, r.Put(now, Entry{ID: "a", Started: 2, FailureDomain: "d", Slots: 4}), true)
	assert.Equal(t, r.Put(now, Entry{ID: "a", Started: 1, Leaving: true}), false)
	assert.Equal(t, r.Put(now, Entry{ID: "a", Started: 2, FailureDomain: "d", Slots: 4}), false)
	vm := r.Servers()[0]
	assert.Equal(t, vm.State, platform.VMLive)
	assert.Equal(t, vm.Region, "r")
	assert.Equal(t, vm.Slots, 4)
}

// TestStaleEntries guards against entries that an older copy of the store brings back: a
// server that has left gets calls again, a server that drains looks ready, and a server
// that lives but whose entry the store keeps unchanged stays away for good.
func TestStaleEntries(t *testing.T) {
	tests := []struct {
		desc string
		run  func(*Registry)
		want []string
	}{
		{"left, and back in the older copy", func(r *Registry) {
			r.Remove(10*second, "a")
			r.Put(12*second, Entry{ID: "a", Started: 1, Seq: 3})
			r.Expire(13 * second)
		}, []string{"b"}},
		{"left, back in the older copy and removed there", func(r *Registry) {
			r.Remove(10*second, "a")
			r.Put(12*second, Entry{ID: "a", Started: 1, Seq: 3})
			r.Remove(16*second, "a")
			r.Expire(60 * second)
		}, []string{"b"}},
		{"expired, and written again by its server", func(r *Registry) {
			r.Remove(10*second, "a")
			r.Put(12*second, Entry{ID: "a", Started: 1, Seq: 4})
		}, []string{"a", "b"}},
		{"expired, back in the older copy and still there", func(r *Registry) {
			r.Remove(10*second, "a")
			r.Put(12*second, Entry{ID: "a", Started: 1, Seq: 3})
			r.Expire(12*second + int64(StaleEntryPeriod))
		}, []string{"a", "b"}},
		{"started again under its ID", func(r *Registry) {
			r.Remove(10*second, "a")
			r.Put(12*second, Entry{ID: "a", Started: 2})
		}, []string{"a", "b"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			r := New(nil)
			r.Put(now, Entry{ID: "a", Started: 1, Seq: 3})
			r.Put(now, Entry{ID: "b", Started: 1})
			test.run(r)
			assert.DeepEqual(t, ids(r), test.want)
		})
	}
	r := New(nil)
	r.Put(now, Entry{ID: "a", Started: 1, Seq: 5, Leaving: true})
	assert.Assert(t, !r.Put(2*second, Entry{ID: "a", Started: 1, Seq: 4}))
	assert.Equal(t, r.Servers()[0].State, platform.VMLeaving)
}
