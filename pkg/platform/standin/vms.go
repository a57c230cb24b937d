package standin

import (
	"slices"
	"strings"
	"sync"
	"time"

	"balsamhill/pkg/platform"
)

// maxListLag is the age up to which the VM list can be served.
const maxListLag = time.Hour

// vmList keeps the recent history of each VM so that the list can be served with
// a lag. A change costs the same however many VMs there are.
type vmList struct {
	mu      sync.Mutex
	history map[string][]vmEvent
}

// vmEvent is the state of one VM from a time on.
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
	// Keeps the last event before the longest lag: it holds at that time.
	for len(events) > 1 && events[1].at.Before(event.at.Add(-maxListLag)) {
		events = events[1:]
	}
	l.history[id] = append(events, event)
}

// at returns the list as it was at a time, in order of the IDs.
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
