package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// overlapTime is how long the store answers at its old address after the settings have
// named the new one.
const overlapTime = 10 * time.Second

// playStoreMoves gives the store another address: the settings files change, the gateways
// get SIGHUP, and after overlapTime the old address is closed. Then the operator writes a
// configuration that moves a route.
func playStoreMoves(w *world) error {
	w.writeConfig(movedRoutes("north", "south")...)
	for n := range 4 {
		service, zone := []string{"north", "south"}[n%2], []string{"khomas-a", "khomas-a", "khomas-b", "khomas-b"}[n]
		if _, err := w.startInstance(fmt.Sprintf("i-%s-%d", service, n), service, zone, 4, "-work", "90ms"); err != nil {
			return err
		}
	}
	if err := w.startGateways("khomas-a", "khomas-b"); err != nil {
		return err
	}
	bookings := w.startTraffic(w.gateways, "a", http.MethodPost, "/desk/book", "seat", 40*time.Millisecond, 2500*time.Millisecond)
	defer bookings.end()
	time.Sleep(stable + time.Second)
	if w.trouble {
		old := []*storeProxy{}
		for _, g := range w.gateways {
			proxy, err := newStoreProxy(w.storeAddress)
			if err != nil {
				return err
			}
			old = append(old, g.proxy)
			g.proxy = proxy
			if err := g.writeSettings(w.seeds); err != nil {
				return err
			}
			g.signal(syscall.SIGHUP)
			w.record.note("settings", fmt.Sprintf("of %s name the store at %s in place of %s; SIGHUP", g.name, g.proxy.address(), old[len(old)-1].address()))
		}
		time.Sleep(overlapTime)
		for _, proxy := range old {
			proxy.close()
		}
		w.record.note("store", "no longer answers at its old addresses")
	}
	time.Sleep(2 * stable)
	ack := w.writeConfig(movedRoutes("south", "north")...)
	time.Sleep(4 * configApplyTime)
	return w.checkOldService(ack, time.Now(), "north", nil)
}
