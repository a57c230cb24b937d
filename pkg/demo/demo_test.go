package demo_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/demo"
)

// TestFirstRequestAfterAddressesIsServed guards against a demo that prints its addresses before it
// can serve, so that a newcomer's first request gets 503.
func TestFirstRequestAfterAddressesIsServed(t *testing.T) {
	for range 5 {
		playFirstRequests(t)
	}
}

func playFirstRequests(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	read, write := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- demo.Run(ctx, write, slog.New(slog.DiscardHandler)) }()
	var addresses demo.Addresses
	assert.NilError(t, json.NewDecoder(read).Decode(&addresses))
	for _, path := range []string{"/lesson-library/clip", "/booking-desk/book", "/practice-vault/upload"} {
		response, err := http.Get(addresses.Gateway + path)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK, path)
	}
	cancel()
	assert.NilError(t, <-ended)
}
