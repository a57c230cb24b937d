package serverconn_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/serverconn"
)

// TestRedirectIsNotFollowed guards against a write or a read that a faulty store or gateway sends on to
// another address.
func TestRedirectIsNotFollowed(t *testing.T) {
	var requests atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer other.Close()
	redirecting := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer redirecting.Close()
	client := serverconn.NewClient(&http.Transport{})
	defer client.CloseIdleConnections()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		request, err := http.NewRequestWithContext(t.Context(), method, redirecting.URL, strings.NewReader("x"))
		assert.NilError(t, err)
		response, err := client.Do(request)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusTemporaryRedirect)
	}
	assert.Equal(t, requests.Load(), int64(0))
}
