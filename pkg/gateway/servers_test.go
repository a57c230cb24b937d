package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHeadsOverLimitAreRefusedAtEachListener guards against a listener at which heads may take any
// amount of memory.
func TestHeadsOverLimitAreRefusedAtEachListener(t *testing.T) {
	g, _ := newTestGateway(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	for _, url := range []string{g.TrafficURL() + "/nowhere", "http://" + g.AdminAddress() + "/healthz"} {
		for size, refused := range map[int]bool{100: false, 500_000: true} {
			request, err := http.NewRequest(http.MethodGet, url, nil)
			assert.NilError(t, err)
			request.Header.Set("Large", strings.Repeat("x", size))
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode == http.StatusRequestHeaderFieldsTooLarge, refused, "%s %d", url, response.StatusCode)
		}
	}
	cancel()
	assert.NilError(t, <-done)
}
