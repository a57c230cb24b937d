package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/serverconn"
)

// TestSecondConnectionIsClosedAfterWrite checks the second line of defense against
// resends by http.Transport: if it assigns another connection after the request was
// written to an earlier one, the new connection is closed before it is written to,
// unless the call is idempotent.
func TestSecondConnectionIsClosedAfterWrite(t *testing.T) {
	tests := []struct {
		desc       string
		safety     retry.Safety
		write      bool
		wantDenied bool
	}{
		{"non-idempotent, written", retry.NonIdempotent, true, true},
		{"keyed, written", retry.Keyed, true, true},
		{"keyed, not written", retry.Keyed, false, false},
		{"idempotent, written", retry.Idempotent, true, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			p := New(Config{Metrics: NewMetrics(metrics.NewSet()), Now: func() int64 { return 1 }})
			a := &attempt{call: &call{proxy: p, r: &http.Request{}, safety: test.safety}, server: &routing.Server{Stats: &routing.Stats{}}}
			a.ctx, a.cancel = context.WithCancelCause(t.Context())
			connect := func() *serverconn.Conn {
				gatewaySide, serverSide := net.Pipe()
				go func() { _, _ = serverSide.Read(make([]byte, 1)) }()
				conn := serverconn.NewConn(gatewaySide, false)
				a.gotConn(httptrace.GotConnInfo{Conn: conn})
				return conn
			}
			first := connect()
			if test.write {
				_, err := first.Write([]byte("x"))
				assert.NilError(t, err)
			}
			second := connect()
			_, err := second.Write([]byte("x"))
			assert.Equal(t, err != nil, test.wantDenied)
			assert.Assert(t, a.written())
		})
	}
}
