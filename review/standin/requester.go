package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is what a requester got for one attempt; status is 0 without a complete answer.
type answer struct {
	id         string
	status     int
	retryAfter time.Duration
}

// send sends one requester attempt to a gateway and waits for its answer. prefix begins
// the ID of the attempt.
func (w *world) send(g *gateway, prefix, method, path, body string, timeout time.Duration) answer {
	w.mu.Lock()
	w.nextID++
	id := fmt.Sprintf("%s%08x", prefix, w.nextID)
	w.sentTo[id] = sent{time.Now(), g, path}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", g.ip, frontPort, path), content)
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	w.record.add(time.Now(), "sent", fmt.Sprintf("%s to %s %s %s", id, g.name, method, path))
	result := answer{id: id}
	response, err := g.client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		w.record.add(time.Now(), "failed", id+" "+err.Error())
		return result
	}
	result.status = response.StatusCode
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err == nil {
		result.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	w.record.add(time.Now(), "answered", fmt.Sprintf("%s %d", id, result.status))
	return result
}

// traffic sends requests to the gateways in turn until it is stopped.
type traffic struct {
	stop chan struct{}
	done sync.WaitGroup
	mu   sync.Mutex
	all  []sample
}

// sample is one request of the traffic.
type sample struct {
	at     time.Time
	status int
}

// startTraffic sends requests for a path at an interval.
func (w *world) startTraffic(gateways []*gateway, prefix, method, path, body string, interval, timeout time.Duration) *traffic {
	t := &traffic{stop: make(chan struct{})}
	t.done.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
			case <-t.stop:
				return
			}
			g := gateways[n%len(gateways)]
			t.done.Go(func() {
				at := time.Now()
				got := w.send(g, prefix, method, path, body, timeout)
				t.mu.Lock()
				defer t.mu.Unlock()
				t.all = append(t.all, sample{at, got.status})
			})
		}
	})
	return t
}

func (t *traffic) end() {
	close(t.stop)
	t.done.Wait()
}

// served returns how many requests were sent in a span, and how many of them got a 200.
func (t *traffic) served(from, to time.Time) (sentCount, servedCount int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.all {
		if s.at.Before(from) || s.at.After(to) {
			continue
		}
		sentCount++
		if s.status == http.StatusOK {
			servedCount++
		}
	}
	return sentCount, servedCount
}
