package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/feed"
	"balsamhill/pkg/responsecheck/responsechecktest"
	"balsamhill/pkg/routing"
)

// TestInvalidProbeResponseIsFailure guards against a server that counts as responsive although what it
// sends to a probe is no response.
func TestInvalidProbeResponseIsFailure(t *testing.T) {
	e := idleEdge(t, "g1")
	for desc, text := range responsechecktest.Invalid("") {
		t.Run(desc, func(t *testing.T) {
			server := &routing.Server{Address: responsechecktest.Serve(t, text), Stats: &routing.Stats{}}
			assert.Assert(t, !e.fetchLoad(t.Context(), server, "/health"))
		})
	}
	server := &routing.Server{Address: responsechecktest.Serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"), Stats: &routing.Stats{}}
	assert.Assert(t, e.fetchLoad(t.Context(), server, "/health"))
}

// TestInvalidTableResponseIsRefused guards against a table that is read from what is no response of
// another gateway.
func TestInvalidTableResponseIsRefused(t *testing.T) {
	for desc, text := range responsechecktest.Invalid("") {
		t.Run(desc, func(t *testing.T) {
			client := tableClient{table: feed.Config}
			_, err := client.read(t.Context(), responsechecktest.Serve(t, text), tableQuery{full: true})
			assert.Assert(t, err != nil)
		})
	}
	client := tableClient{table: feed.Config}
	_, err := client.read(t.Context(), responsechecktest.Serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"), tableQuery{full: true})
	assert.NilError(t, err)
}
