package serverconn_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"balsamhill/pkg/responsecheck/responsechecktest"
	"balsamhill/pkg/serverconn"
)

// TestRefusalsAreCountedAndLogged guards against a response that is refused without a trace, also if it
// comes while no request is waiting.
func TestRefusalsAreCountedAndLogged(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for reason, text := range map[string]string{"status": "HTTP/1.1 099 X\r\n\r\n", "unrequested": whole + "x"} {
		set, lines := metrics.NewSet(), &bytes.Buffer{}
		transport := serverconn.Check(&http.Transport{}, serverconn.RecordRefusals(set, slog.New(slog.NewTextHandler(lines, nil))))
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+responsechecktest.Serve(t, text), nil)
		assert.NilError(t, err)
		response, err := transport.RoundTrip(request)
		if err == nil {
			assert.NilError(t, response.Body.Close())
		}
		assert.Equal(t, err == nil, strings.HasPrefix(text, whole), "%v", err)
		assert.Equal(t, set.GetOrCreateCounter(`balsamhill_responses_refused_total{reason="`+reason+`"}`).Get(), uint64(1))
		assert.Assert(t, strings.Contains(lines.String(), `msg="response refused" address=127.0.0.1:`) && strings.Contains(lines.String(), "reason="+reason), lines.String())
	}
}

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
