package serverconn_test

import (
	"bytes"
	"crypto/tls"
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

// TestInvalidResponseOverTLSIsRefused guards against a check that sees only the encrypted bytes of a
// connection.
func TestInvalidResponseOverTLSIsRefused(t *testing.T) {
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	get := func(text string) error {
		listener := tls.NewListener(responsechecktest.Listen(t), server.TLS)
		go responsechecktest.Answer(listener, text)
		client := serverconn.NewClient(&http.Transport{TLSClientConfig: server.Client().Transport.(*http.Transport).TLSClientConfig})
		defer client.CloseIdleConnections()
		response, err := client.Get("https://" + listener.Addr().String())
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}
	for desc, text := range responsechecktest.Invalid("") {
		t.Run(desc, func(t *testing.T) { assert.Assert(t, get(text) != nil) })
	}
	assert.NilError(t, get("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	untrusting := serverconn.NewClient(&http.Transport{})
	_, err := untrusting.Get(server.URL)
	assert.ErrorContains(t, err, "certificate")
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
