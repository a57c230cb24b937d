package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// cutTime is how long a gateway is cut off from the store: for_s of core_cut in the site
// file of signline-gw.
const cutTime = 5500 * time.Millisecond

// deliveryTime is enough for an answer of the store to arrive.
const deliveryTime = 30 * time.Millisecond

// reader returns the gateway that waits for changes of the store, once an answer of the
// store to it has just arrived.
func (w *world) reader() (*gateway, error) {
	for len(w.store.answered) > 0 {
		<-w.store.answered
	}
	select {
	case address := <-w.store.answered:
		// The answer is still on its way.
		time.Sleep(deliveryTime)
		for _, g := range w.gateways {
			if g.proxy.address() == address {
				return g, nil
			}
		}
		return nil, fmt.Errorf("no gateway has the address %s", address)
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("no gateway waits for changes of the store")
	}
}

// checkLateArrivals fails if a request that was sent to an undisturbed gateway reached an
// instance later than drainDelay after the ack of its departure.
func (w *world) checkLateArrivals(i *instanceProcess, ack time.Time, disturbed *gateway) error {
	late := 0
	for _, arrival := range w.eventsOf("arrives", "/") {
		delay := time.UnixMicro(arrival.At).Sub(ack)
		from := w.sender(arrival.RequestID).gateway
		if arrival.Instance != i.id || delay <= drainDelay || from == disturbed {
			continue
		}
		late++
		w.record.note("check", fmt.Sprintf("%s reached %s %.3f s after the ack, from %s", arrival.RequestID, i.id, delay.Seconds(), from.name))
	}
	w.record.note("check", fmt.Sprintf("requests that reached the instance over %s after the ack: %d (at most 0)", drainDelay, late))
	if late > 0 {
		return errBroken
	}
	return nil
}

// serveLonger is how much longer than the drain time a leaving instance serves.
const serveLonger = 700 * time.Millisecond

// noteCutBookings notes the requests that ran at an instance when it exited.
func (w *world) noteCutBookings(i *instanceProcess) {
	ended := map[string]bool{}
	for _, event := range w.eventsOf("done", "/") {
		ended[event.RequestID] = true
	}
	for _, event := range w.eventsOf("runs", "/") {
		if event.Instance == i.id && !ended[event.RequestID] {
			w.record.note("check", event.RequestID+" was at work at "+i.id+" when it exited")
		}
	}
}

// playDepartureAfterOutage removes the entry of an instance at the moment at which the
// gateway that reads the store is cut off from it, some time after an outage of the store.
func playDepartureAfterOutage(w *world) error {
	w.writeConfig(route{service: "desk", kind: "unsafe", timeoutMs: 1200, targetMs: 250, maxAttempts: 2})
	var leaving *instanceProcess
	for n := range 4 {
		zone := []string{"khomas-a", "khomas-b"}[n%2]
		i, err := w.startInstance(fmt.Sprintf("i-0d%02d", n), "desk", zone, 4, "-work", "90ms")
		if err != nil {
			return err
		}
		leaving = i
	}
	if err := w.startGateways("khomas-a", "khomas-b", "khomas-a"); err != nil {
		return err
	}
	bookings := w.startTraffic(w.gateways, "a", http.MethodPost, "/desk/book", "seat", 20*time.Millisecond, 2500*time.Millisecond)
	time.Sleep(stable + time.Second)
	if w.trouble {
		w.store.setSilent(true)
		w.record.note("store", "is down")
		time.Sleep(8 * time.Second)
		w.store.setSilent(false)
		w.record.note("store", "is back")
	}
	time.Sleep(2*stable + time.Second)
	reader, err := w.reader()
	if err != nil {
		return err
	}
	if w.trouble {
		reader.proxy.cut.Store(true)
		w.record.note("gateway", reader.name+" is cut off from the store")
	}
	time.Sleep(20 * time.Millisecond)
	ack := w.store.put("servers", leaving.id, nil)
	w.record.add(ack, "instance", leaving.id+" leaves: its entry is removed")
	time.Sleep(drainDelay + serveLonger)
	leaving.kill()
	w.record.note("instance", leaving.id+" has served on for the drain time and a little longer, and exits")
	time.Sleep(cutTime - drainDelay - serveLonger)
	reader.proxy.cut.Store(false)
	w.record.note("gateway", reader.name+" reaches the store again")
	bookings.end()
	w.noteCutBookings(leaving)
	return w.checkLateArrivals(leaving, ack, reader)
}

// playRetryWithOldView removes the entry of an instance at the moment at which the gateway
// that reads the store is cut off from it. Soon after, another instance begins to leave a
// share of its requests without an answer, so that gateways send these to another instance.
func playRetryWithOldView(w *world) error {
	w.writeConfig(route{service: "lib", kind: "safe", timeoutMs: 5000, targetMs: 800, maxAttempts: 2})
	var instances []*instanceProcess
	for n := range 7 {
		zone := []string{"khomas-a", "khomas-b"}[n%2]
		i, err := w.startInstance(fmt.Sprintf("i-0e%02d", n), "lib", zone, 4, "-work", "70ms", "-load=false", "-hang-share", "0.4")
		if err != nil {
			return err
		}
		instances = append(instances, i)
	}
	leaving, failing := instances[3], instances[1]
	if err := w.startGateways("khomas-a", "khomas-b", "khomas-a", "khomas-b"); err != nil {
		return err
	}
	reads := w.startTraffic(w.gateways, "a", http.MethodGet, "/lib/clip", "", 8*time.Millisecond, 5*time.Second)
	time.Sleep(stable + time.Second)
	reader, err := w.reader()
	if err != nil {
		return err
	}
	if w.trouble {
		reader.proxy.cut.Store(true)
		w.record.note("gateway", reader.name+" is cut off from the store")
	}
	time.Sleep(20 * time.Millisecond)
	ack := w.store.put("servers", leaving.id, nil)
	w.record.add(ack, "instance", leaving.id+" leaves: its entry is removed")
	time.Sleep(hangDelay)
	if w.trouble {
		_ = failing.command.Process.Signal(syscall.SIGUSR1)
		w.record.note("instance", failing.id+" begins to leave requests without an answer")
	}
	time.Sleep(cutTime - hangDelay)
	reader.proxy.cut.Store(false)
	w.record.note("gateway", reader.name+" reaches the store again")
	reads.end()
	return w.checkLateArrivals(leaving, ack, reader)
}

// hangDelay is the time from the departure of one instance to the failure of another.
const hangDelay = 500 * time.Millisecond
