package standin

import (
	"sort"
	"sync"
	"time"

	"balsamhill/pkg/platform"
)

// maxListHistory bounds the snapshots that are kept to serve a lagging list.
const maxListHistory = 1000

// vmList keeps the history of the VM list so that it can be served with a lag.
type vmList struct {
	mu      sync.Mutex
	current map[string]platform.VM
	history []vmSnapshot
}

type vmSnapshot struct {
	at  time.Time
	vms []platform.VM
}

func newVMList() *vmList {
	return &vmList{current: make(map[string]platform.VM)}
}

func (l *vmList) put(vm platform.VM, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current[vm.ID] = vm
	l.record(now)
}

func (l *vmList) remove(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.current, id)
	l.record(now)
}

func (l *vmList) record(now time.Time) {
	vms := make([]platform.VM, 0, len(l.current))
	for _, vm := range l.current {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	l.history = append(l.history, vmSnapshot{at: now, vms: vms})
	if len(l.history) > maxListHistory {
		l.history = l.history[len(l.history)-maxListHistory:]
	}
}

// at returns the list as it was at a time.
func (l *vmList) at(t time.Time) []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.history) - 1; i >= 0; i-- {
		if !l.history[i].at.After(t) {
			return l.history[i].vms
		}
	}
	return []platform.VM{}
}
