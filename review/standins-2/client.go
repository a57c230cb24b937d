package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Int64

// newID returns a request ID that is used once.
func newID() string {
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumber.Add(1))
}

// caller is a requester with an address of its own, which keeps its connections open.
type caller struct {
	d      *deployment
	client *http.Client
}

func (d *deployment) newCaller(number int) *caller {
	dialer := &net.Dialer{
		Timeout:   time.Second,
		LocalAddr: &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("%s.%d", d.block, 200+number))},
	}
	return &caller{d: d, client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16, DisableCompression: true,
	}}}
}

// request describes one requester attempt.
type request struct {
	id           string
	method, path string
	// body is sent with its length; nil for none. With reader set, the body is sent in chunks
	// as it is read from it.
	body   []byte
	reader io.Reader
	// deadline is the time budget.
	deadline time.Duration
	// leaveAfter is when the requester leaves, 0 for at its time budget.
	leaveAfter time.Duration
}

// result is what the requester saw.
type result struct {
	id     string
	status int
	took   time.Duration
	err    error
	signed bool
}

func (r result) String() string {
	switch {
	case r.err != nil:
		return fmt.Sprintf("no answer after %d ms: %v", r.took.Milliseconds(), r.err)
	case r.signed:
		return fmt.Sprintf("status %d of an instance after %d ms", r.status, r.took.Milliseconds())
	default:
		return fmt.Sprintf("status %d of the gateway after %d ms", r.status, r.took.Milliseconds())
	}
}

// send sends a request to a gateway and returns what came back.
func (c *caller) send(g *gateway, q request) result {
	limit := q.deadline
	if q.leaveAfter > 0 {
		limit = q.leaveAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var body io.Reader
	switch {
	case q.reader != nil:
		body = q.reader
	case q.body != nil:
		// The type keeps net/http from sending the request again by itself.
		body = io.NopCloser(bytes.NewReader(q.body))
	}
	out, err := http.NewRequestWithContext(ctx, q.method, fmt.Sprintf("http://%s:%d%s", g.ip, frontPort, q.path), body)
	if err != nil {
		fail("request: %v", err)
	}
	if body != nil {
		out.ContentLength = int64(len(q.body))
	}
	if q.reader != nil {
		out.ContentLength = -1
	}
	out.Host = "review.example"
	out.Header.Set("Request-Id", q.id)
	out.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	sentAt := time.Now()
	c.d.record("request %s %s %s is sent to %s", q.id, q.method, q.path, g.name)
	r := result{id: q.id}
	response, err := c.client.Do(out)
	if err != nil {
		r.err = err
	} else {
		data, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		r.status, r.err = response.StatusCode, readErr
		r.signed = response.Header.Get("Response-Signature") != ""
		if r.signed && !strings.HasPrefix(string(data), q.id+" ") {
			r.err = errors.New("the answer belongs to another request")
		}
	}
	r.took = time.Since(sentAt)
	c.d.record("request %s at %s: %s", q.id, g.name, r)
	return r
}
