package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// configApplyTime is configApplyMs of the site signline-gw.
	configApplyTime = 2500 * time.Millisecond
	// longOutage is the length of the first outage of a round, and betweenOutages the time
	// until the second one. The second one ends when the gateway that is not the reader
	// has called the store, at the latest after shortOutage.
	longOutage     = 8 * time.Second
	betweenOutages = 2 * time.Second
	shortOutage    = 4500 * time.Millisecond
	// rounds is how often the disruption comes at most, calmTime the time before a round,
	// and lastRound the time since the start of the case after which none begins.
	rounds    = 3
	calmTime  = 4500 * time.Millisecond
	lastRound = 72 * time.Second
)

// movedRoutes returns a configuration whose route for bookings goes to one of the services.
func movedRoutes(service, other string) []route {
	return []route{
		{service: service, kind: "unsafe", timeoutMs: 1200, targetMs: 250, maxAttempts: 2, prefix: "/desk/"},
		{service: other, kind: "unsafe", timeoutMs: 1200, targetMs: 250, maxAttempts: 2},
	}
}

// playConfigAfterOutage writes a configuration that moves a route, at the moment at which
// the gateway that reads the store is cut off from it, some seconds after two outages of the
// store. It does so up to three times, each time with gateways that have just been started.
func playConfigAfterOutage(w *world) error {
	service, other := "north", "south"
	w.writeConfig(movedRoutes(service, other)...)
	for n := range 4 {
		id := fmt.Sprintf("i-%s-%d", []string{service, other}[n%2], n)
		zone := []string{"khomas-a", "khomas-a", "khomas-b", "khomas-b"}[n]
		if _, err := w.startInstance(id, []string{service, other}[n%2], zone, 4, "-work", "90ms"); err != nil {
			return err
		}
	}
	if err := w.startGateways("khomas-a", "khomas-b"); err != nil {
		return err
	}
	bookings := w.startTraffic(w.gateways, "a", http.MethodPost, "/desk/book", "seat", 40*time.Millisecond, 2500*time.Millisecond)
	defer bookings.end()
	for n := 0; n < rounds && time.Since(w.record.began) < lastRound; n++ {
		if n > 0 {
			if err := w.restartAll(); err != nil {
				return err
			}
		}
		time.Sleep(calmTime)
		err := w.playConfigRound(service, other)
		if err != nil {
			return err
		}
		service, other = other, service
	}
	return nil
}

// restartAll stops all gateways, starts them again and waits until they are ready.
func (w *world) restartAll() error {
	var stopped sync.WaitGroup
	for _, g := range w.gateways {
		stopped.Go(g.stop)
	}
	stopped.Wait()
	for _, g := range w.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	return w.waitReady()
}

// playConfigRound moves the route from one service to another, with the disruption.
func (w *world) playConfigRound(from, to string) error {
	reader, err := w.reader()
	if err != nil {
		return err
	}
	if w.trouble {
		w.playOutages(reader)
	}
	time.Sleep(stable + 50*time.Millisecond)
	if w.trouble {
		reader.proxy.cut.Store(true)
		w.record.note("gateway", reader.name+" is cut off from the store")
	}
	time.Sleep(20 * time.Millisecond)
	ack := w.writeConfig(movedRoutes(to, from)...)
	time.Sleep(cutTime)
	reader.proxy.cut.Store(false)
	w.record.note("gateway", reader.name+" reaches the store again")
	time.Sleep(time.Second)
	return w.checkOldService(ack, time.Now(), from, reader)
}

// playOutages takes the store down twice.
func (w *world) playOutages(reader *gateway) {
	w.store.setSilent(true)
	w.record.note("store", "is down")
	time.Sleep(longOutage)
	w.store.setSilent(false)
	w.record.note("store", "is back")
	time.Sleep(betweenOutages)
	for len(w.store.ignored) > 0 {
		<-w.store.ignored
	}
	w.store.setSilent(true)
	w.record.note("store", "is down again")
	end := time.After(shortOutage)
	for called := false; !called; {
		select {
		case caller := <-w.store.ignored:
			called = caller != reader.proxy.address()
		case <-end:
			called = true
		}
	}
	w.store.setSilent(false)
	w.record.note("store", "is back")
}

// checkOldService fails if the old service ran a request that was sent to an undisturbed
// gateway later than configApplyTime after the ack.
func (w *world) checkOldService(ack, until time.Time, service string, disturbed *gateway) error {
	late, latest := 0, time.Duration(0)
	for _, run := range w.eventsOf("runs", "/desk/") {
		request := w.sender(run.RequestID)
		delay := request.at.Sub(ack)
		if request.gateway == disturbed || delay <= configApplyTime || request.at.After(until) || !w.runsService(run.Instance, service) {
			continue
		}
		late++
		latest = max(latest, delay)
		w.record.add(time.Now(), "check", fmt.Sprintf("%s was sent to %s %.3f s after the ack and was run by the old service",
			run.RequestID, request.gateway.name, delay.Seconds()))
	}
	w.record.note("check", fmt.Sprintf("requests sent over %s after the ack and run by the old service: %d (at most 0), up to %.1f s after it",
		configApplyTime, late, latest.Seconds()))
	if late > 0 {
		return errBroken
	}
	return nil
}

// runsService reports whether an instance belongs to a service.
func (w *world) runsService(id, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.instances {
		if i.id == id {
			return i.service == service
		}
	}
	return false
}
