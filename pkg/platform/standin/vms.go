package standin

import (
	"slices"
	"strings"
	"sync"
	"time"

	"balsamhill/pkg/platform"
)

// maxListLag is the maximum lag of the VM list.
const maxListLag = time.Hour

// vmList keeps the recent history of each VM so that the list can be served with a
// lag. The cost of a change does not depend on the number of VMs.
type vmList struct {
	mu      sync.Mutex
	history map[string][]vmEvent
}

// vmEvent is the state of one VM from the time at on.
type vmEvent struct {
	at      time.Time
	vm      platform.VM
	removed bool
}

func newVMList() *vmList {
	return &vmList{history: make(map[string][]vmEvent)}
}

func (l *vmList) put(vm platform.VM, now time.Time) {
	l.record(vm.ID, vmEvent{at: now, vm: vm})
}

func (l *vmList) remove(id string, now time.Time) {
	l.record(id, vmEvent{at: now, removed: true})
}

func (l *vmList) record(id string, event vmEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.history[id]
	// The last event before the maximum lag is kept, because it gives the state at
	// that time.
	for len(events) > 1 && events[1].at.Before(event.at.Add(-maxListLag)) {
		events = events[1:]
	}
	l.history[id] = append(events, event)
}

// at returns the list as of time t, sorted by ID.
func (l *vmList) at(t time.Time) []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := make([]platform.VM, 0, len(l.history))
	for _, events := range l.history {
		event, ok := eventAt(events, t)
		if ok && !event.removed {
			vms = append(vms, event.vm)
		}
	}
	slices.SortFunc(vms, func(a, b platform.VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}

// eventAt returns the last event that is not after t.
func eventAt(events []vmEvent, t time.Time) (vmEvent, bool) {
	for _, event := range slices.Backward(events) {
		if !event.at.After(t) {
			return event, true
		}
	}
	return vmEvent{}, false
}
