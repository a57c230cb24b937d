package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// firstOutage, returnTime and secondOutage are how long the store is down, back and
	// down again.
	firstOutage  = 6 * time.Second
	returnTime   = time.Second
	secondOutage = 72 * time.Second
	// beatAfterReturn is when the instances of bookings write to the store after its
	// return. Those of lessons would write a heartbeat interval after their last attempt,
	// which is after the second outage has begun.
	beatAfterReturn = 300 * time.Millisecond
)

// playBriefReturn lets the store return for a second between two outages. The entries of
// all instances have expired in the first one; some instances write theirs again in time.
func playBriefReturn(w *world) error {
	w.writeConfig(
		route{service: "lib", kind: "safe", timeoutMs: 1000, targetMs: 200, maxAttempts: 2},
		route{service: "desk", kind: "unsafe", timeoutMs: 1200, targetMs: 250, maxAttempts: 2},
	)
	var all, bookings []*instanceProcess
	for n := range 5 {
		service := []string{"lib", "desk"}[n%2]
		i, err := w.startInstance(fmt.Sprintf("i-10%02d", n), service, []string{"khomas-a", "khomas-b"}[n/2%2], 4, "-work", "70ms")
		if err != nil {
			return err
		}
		all = append(all, i)
		if service == "desk" {
			bookings = append(bookings, i)
		}
	}
	if err := w.startGateways("khomas-a", "khomas-b"); err != nil {
		return err
	}
	began := time.Now()
	lessons := w.startTraffic(w.gateways, "a", http.MethodGet, "/lib/clip", "", 50*time.Millisecond, 2*time.Second)
	seats := w.startTraffic(w.gateways, "b", http.MethodPost, "/desk/book", "seat", 25*time.Millisecond, 2500*time.Millisecond)
	time.Sleep(stable)
	if w.trouble {
		w.store.setSilent(true)
		w.record.note("store", "is down")
	}
	time.Sleep(3 * heartbeatTime)
	if w.trouble {
		for _, i := range all {
			w.store.put("servers", i.id, nil)
		}
		w.record.note("store", "the entries expire after three heartbeat intervals of silence")
	}
	time.Sleep(firstOutage - 3*heartbeatTime)
	if w.trouble {
		w.store.setSilent(false)
		w.record.note("store", "is back")
	}
	time.Sleep(beatAfterReturn)
	if w.trouble {
		for _, i := range bookings {
			i.register("ready")
		}
	}
	time.Sleep(returnTime - beatAfterReturn)
	if w.trouble {
		w.store.setSilent(true)
		w.record.note("store", "is down again")
	}
	time.Sleep(secondOutage)
	lessons.end()
	seats.end()
	return w.checkStarved(lessons, seats, began)
}

// checkStarved fails if lessons were served less than a quarter as often as all requests.
func (w *world) checkStarved(lessons, seats *traffic, began time.Time) error {
	lessonsSent, lessonsServed := lessons.served(began, time.Now())
	seatsSent, seatsServed := seats.served(began, time.Now())
	lessonShare := float64(lessonsServed) / float64(lessonsSent)
	allShare := float64(lessonsServed+seatsServed) / float64(lessonsSent+seatsSent)
	w.record.note("check", fmt.Sprintf("lessons: %d of %d served (%.3f); bookings: %d of %d; all: %.3f",
		lessonsServed, lessonsSent, lessonShare, seatsServed, seatsSent, allShare))
	w.record.note("check", fmt.Sprintf("share of lessons over that of all: %.3f (at least 0.25)", lessonShare/allShare))
	if 4*lessonShare < allShare {
		return errBroken
	}
	return nil
}
