package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUploadSurvivesPausedServer guards against an upload that fails because its
// server does not read for longer than the TCP user timeout of 4 s: Linux closes the
// connection although the server still acknowledges. The test runs in real time,
// because the kernel's timers do not follow fake time.
func TestUploadSurvivesPausedServer(t *testing.T) {
	t.Parallel()
	const pause, size = 6 * time.Second, 30 << 20
	server := startRawServer(t, func(conn net.Conn) {
		time.Sleep(pause)
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, request.Body)
		if err == nil && n == size {
			_, _ = io.WriteString(conn, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := newTestProxy(t, testConfig{}, server)
	got := do(t, newClient(t, false), newRequest(t, "POST", p.url+"/upload", strings.NewReader(strings.Repeat("x", size))))
	assert.Equal(t, got.status, 201)
}
