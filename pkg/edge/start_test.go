package edge

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/startup"
)

// getStatus sends a call that no route matches, and returns its status and its duration.
func getStatus(t *testing.T, e *Edge) (int, time.Duration) {
	t.Helper()
	began := time.Now()
	response, err := http.Get("http://" + e.trafficListener.Addr().String() + "/")
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode, time.Since(began)
}

// TestCallsWaitForRoutesAtStart guards against a gateway that refuses the first calls after
// its start although its routes arrive shortly after, within 0.2 s if the store is in another
// region.
func TestCallsWaitForRoutesAtStart(t *testing.T) {
	store := newFakeStore()
	store.setDown(true)
	e := startEdge(t, "only", store)
	e.startup.Deadline = time.Now().Add(5 * time.Second)
	go func() {
		time.Sleep(50 * time.Millisecond)
		store.setDown(false)
		store.write(feed.Config, "config", []byte("1"), false)
	}()
	status, _ := getStatus(t, e)
	assert.Equal(t, status, http.StatusNotFound)
}

// TestCallsDoNotWaitPastStartupLimit guards against calls that wait at a gateway that cannot
// read its routes instead of being refused with a 503.
func TestCallsDoNotWaitPastStartupLimit(t *testing.T) {
	store := newFakeStore()
	store.setDown(true)
	e := startEdge(t, "only", store)
	status, took := getStatus(t, e)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, took < startup.MaxWait+200*time.Millisecond, "%s", took)
	status, took = getStatus(t, e)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, took < 200*time.Millisecond, "%s", took)
}
