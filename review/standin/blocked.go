package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// crashDownTime is for_s of srv_crash in the site file of signline-gw.
	crashDownTime = 4500 * time.Millisecond
	// afterCrash is how long requests are sent after the crash.
	afterCrash = 62 * time.Second
)

// playDomainCrash crashes all instances of a failure domain at the same moment, while one
// caller reads the same lesson again and again.
func playDomainCrash(w *world) error {
	w.writeConfig(
		route{service: "lib", kind: "safe", timeoutMs: 3000, targetMs: 600, maxAttempts: 2},
		route{service: "desk", kind: "unsafe", timeoutMs: 1200, targetMs: 250, maxAttempts: 2},
	)
	var crashing []*instanceProcess
	for n := range 15 {
		zone := []string{"khomas-a", "khomas-b", "erongo-a"}[n%3]
		i, err := w.startInstance(fmt.Sprintf("i-11%02d", n), "lib", zone, 4, "-work", "240ms")
		if err != nil {
			return err
		}
		if zone == "khomas-a" {
			crashing = append(crashing, i)
		}
		if n < 6 {
			if _, err := w.startInstance(fmt.Sprintf("i-12%02d", n), "desk", zone, 4, "-work", "50ms"); err != nil {
				return err
			}
		}
	}
	if err := w.startGateways("khomas-a", "khomas-a"); err != nil {
		return err
	}
	began := time.Now()
	lessons := w.startTraffic(w.gateways, "a", http.MethodGet, "/lib/today", "", 16*time.Millisecond, 6*time.Second)
	seats := w.startTraffic(w.gateways, "b", http.MethodPost, "/desk/book", "seat", 8*time.Millisecond, 2500*time.Millisecond)
	time.Sleep(stable)
	if w.trouble {
		for _, i := range crashing {
			_ = i.command.Process.Kill()
		}
		w.record.note("instance", fmt.Sprintf("the %d instances of lib in khomas-a crash", len(crashing)))
	}
	time.Sleep(crashDownTime)
	if w.trouble {
		for _, i := range crashing {
			<-i.exited
			if err := i.start(); err != nil {
				return err
			}
		}
	}
	time.Sleep(afterCrash - crashDownTime)
	lessons.end()
	seats.end()
	return w.checkStarved(lessons, seats, began)
}
