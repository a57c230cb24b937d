package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// cases holds the cases by name.
var cases = map[string]func(*world) error{
	"crash-same-id":   playCrashSameID,
	"restart-outage":  playRestartDuringOutage,
	"departure-late":  playDepartureAfterOutage,
	"retry-old-view":  playRetryWithOldView,
	"config-stale":    playConfigAfterOutage,
	"brief-return":    playBriefReturn,
	"domain-crash":    playDomainCrash,
	"store-moves":     playStoreMoves,
	"crash-elsewhere": playCrashElsewhere,
}

// poison is the path of the request that crashes each instance that runs it, where the
// disruption is on.
const poison = "/desk/poison"

// crashFlags are the flags of instances that poison crashes.
func (w *world) crashFlags(work string) []string {
	flags := []string{"-work", work}
	if w.trouble {
		flags = append(flags, "-crash-path", poison)
	}
	return flags
}

// restartCrashed starts instances again that have crashed, after a while: under their ID or
// as new ones at their address. It returns a function that ends it.
func (w *world) restartCrashed(downTime time.Duration, sameID bool) (end func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		number := 0
		downSince := map[*instanceProcess]time.Time{}
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			w.mu.Lock()
			instances := slices.Clone(w.instances)
			w.mu.Unlock()
			for _, i := range instances {
				select {
				case <-i.exited:
				default:
					continue
				}
				if downSince[i].IsZero() {
					downSince[i] = time.Now()
					w.record.note("instance", i.id+" has crashed")
				}
				if time.Since(downSince[i]) < downTime {
					continue
				}
				delete(downSince, i)
				if !sameID {
					// The old entry has expired after three heartbeat intervals of silence.
					w.store.put("servers", i.id, nil)
					number++
					i.id = fmt.Sprintf("%s-n%d", i.id, number)
				}
				if err := i.start(); err != nil {
					w.record.note("instance", "cannot restart: "+err.Error())
				}
			}
		}
	}()
	return func() { close(stop); <-done }
}

// lateRetries returns the requester attempts of poison that reached an instance later than
// stable after the third crash.
func (w *world) lateRetries() (ids []string, third time.Time) {
	crashes := w.eventsOf("crashes", poison)
	if len(crashes) < 3 {
		return nil, time.Time{}
	}
	third = time.UnixMicro(crashes[2].At)
	for _, arrival := range w.eventsOf("arrives", poison) {
		if time.UnixMicro(arrival.At).Sub(third) > stable && !slices.Contains(ids, arrival.RequestID) {
			ids = append(ids, arrival.RequestID)
		}
	}
	return ids, third
}

// maxLateRetries is from the rule BUDGET.
const maxLateRetries = 3

func (w *world) checkLateRetries(innocent *traffic, began time.Time) error {
	late, third := w.lateRetries()
	all, served := innocent.served(began, time.Now())
	w.record.note("check", fmt.Sprintf("crashes of instances: %d; the third at %.1f s", len(w.eventsOf("crashes", poison)),
		max(0, third.Sub(w.record.began).Seconds())))
	w.record.note("check", fmt.Sprintf("retries that reached an instance over %s after it: %d (at most %d)", stable, len(late), maxLateRetries))
	w.record.note("check", fmt.Sprintf("other requests meanwhile: %d of %d served", served, all))
	if w.trouble && third.IsZero() {
		return fmt.Errorf("the request crashed fewer than three instances")
	}
	if len(late) > maxLateRetries {
		return errBroken
	}
	return nil
}

// playCrashSameID sends a request again and again that crashes each instance that runs it.
// The service has two instances, which start again under the IDs that they had.
func playCrashSameID(w *world) error {
	w.writeConfig(route{service: "desk", kind: "unsafe", timeoutMs: 1200, targetMs: 250, maxAttempts: 2})
	for _, id := range []string{"i-0a01", "i-0a02"} {
		if _, err := w.startInstance(id, "desk", "khomas-a", 4, w.crashFlags("90ms")...); err != nil {
			return err
		}
	}
	if err := w.startGateways("khomas-a", "khomas-b"); err != nil {
		return err
	}
	endRestarts := w.restartCrashed(3*time.Second, true)
	defer endRestarts()
	innocent := w.startTraffic(w.gateways, "a", http.MethodPost, "/desk/book", "seat", 100*time.Millisecond, 2500*time.Millisecond)
	began := time.Now()
	time.Sleep(stable + time.Second)
	for n := 0; time.Since(began) < 50*time.Second; n++ {
		got := w.send(w.gateways[n%2], "f", http.MethodPost, poison, "same body", 2500*time.Millisecond)
		time.Sleep(max(time.Second, got.retryAfter))
	}
	innocent.end()
	return w.checkLateRetries(innocent, began)
}

// playCrashElsewhere sends such a request to the gateways of one region until they hold it
// back, then to those of the other region, and once more a good minute later. The
// instances start again under new IDs.
func playCrashElsewhere(w *world) error {
	w.writeConfig(route{service: "desk", kind: "unsafe", timeoutMs: 1200, targetMs: 250, maxAttempts: 2})
	for n := range 6 {
		zone := []string{"khomas-a", "khomas-b", "erongo-a"}[n%3]
		if _, err := w.startInstance(fmt.Sprintf("i-0b%02d", n), "desk", zone, 4, w.crashFlags("90ms")...); err != nil {
			return err
		}
	}
	if err := w.startGateways("khomas-a", "khomas-b", "erongo-a"); err != nil {
		return err
	}
	endRestarts := w.restartCrashed(3*heartbeatTime+500*time.Millisecond, false)
	defer endRestarts()
	innocent := w.startTraffic(w.gateways, "a", http.MethodPost, "/desk/book", "seat", 100*time.Millisecond, 2500*time.Millisecond)
	began := time.Now()
	time.Sleep(stable + time.Second)
	for n := 0; time.Since(began) < 100*time.Second; n++ {
		got := w.send(w.gateways[n%3], "f", http.MethodPost, poison, "same body", 2500*time.Millisecond)
		time.Sleep(max(1500*time.Millisecond, got.retryAfter))
	}
	innocent.end()
	return w.checkLateRetries(innocent, began)
}

// playRestartDuringOutage restarts all gateways in turn while the store is down.
func playRestartDuringOutage(w *world) error {
	w.writeConfig(route{service: "lib", kind: "safe", timeoutMs: 1000, targetMs: 200, maxAttempts: 2})
	for n := range 4 {
		zone := []string{"khomas-a", "khomas-b"}[n%2]
		if _, err := w.startInstance(fmt.Sprintf("i-0c%02d", n), "lib", zone, 4, "-work", "70ms"); err != nil {
			return err
		}
	}
	if err := w.startGateways("khomas-a", "khomas-b", "khomas-a", "khomas-b"); err != nil {
		return err
	}
	reads := w.startTraffic(w.gateways, "a", http.MethodGet, "/lib/clip", "", 25*time.Millisecond, 2*time.Second)
	began := time.Now()
	time.Sleep(stable + time.Second)
	if w.trouble {
		w.store.setSilent(true)
		w.record.note("store", "is down")
	}
	time.Sleep(3 * time.Second)
	before := time.Now()
	for _, g := range w.gateways {
		g.stop()
		if err := g.start(); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	back := time.Now()
	w.record.note("gateway", "all have been restarted")
	time.Sleep(recoveryTime + 10*time.Second)
	readyCount := 0
	for _, g := range w.gateways {
		if g.ready() {
			readyCount++
		}
	}
	reads.end()
	sentBefore, servedBefore := reads.served(began, before)
	sentAfter, servedAfter := reads.served(back.Add(recoveryTime), time.Now())
	w.record.note("check", fmt.Sprintf("served before the restarts: %d of %d", servedBefore, sentBefore))
	w.record.note("check", fmt.Sprintf("served later than %s after them: %d of %d; ready gateways: %d of %d",
		recoveryTime, servedAfter, sentAfter, readyCount, len(w.gateways)))
	if 4*servedBefore < sentBefore {
		return fmt.Errorf("less than a quarter was served before the restarts")
	}
	if 4*servedAfter < sentAfter {
		return errBroken
	}
	return nil
}
