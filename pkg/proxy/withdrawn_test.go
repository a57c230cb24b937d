package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/preset"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/routing"
)

// withdrawnServer answers with a status and a header, and counts the requests.
func withdrawnServer(t *testing.T, status int, header map[string]string, requests *atomic.Int64) string {
	return startServer(t, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
		for name, value := range header {
			w.Header().Set(name, value)
		}
		w.WriteHeader(status)
	})
}

// TestServerThatLeavesGetsNoFurtherRequest guards against requests to a server after a
// response, of whatever status and kind, said that it leaves.
func TestServerThatLeavesGetsNoFurtherRequest(t *testing.T) {
	tests := []struct {
		desc   string
		status int
		header map[string]string
	}{
		{"success", http.StatusOK, nil},
		{"error", http.StatusInternalServerError, nil},
		{"not run", http.StatusServiceUnavailable, map[string]string{"Not-Run": "1"}},
		{"unconfirmed", http.StatusServiceUnavailable, nil},
		{"of another request", http.StatusOK, map[string]string{"Id": "other"}},
		{"with its ID", http.StatusOK, map[string]string{"From": "a"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var leaving, other atomic.Int64
			header := map[string]string{"Leaving": "1"}
			for name, value := range test.header {
				header[name] = value
			}
			p := newLatencyTargetProxy(t, preset.ClassFetch,
				withdrawnServer(t, test.status, header, &leaving), withdrawnServer(t, http.StatusOK, nil, &other))
			for range 30 {
				p.send(t, http.MethodGet, "")
			}
			assert.Equal(t, leaving.Load(), int64(1))
			assert.Assert(t, other.Load() >= 28)
		})
	}
}

// TestLeavingServerBehindAddressIsTheOneThatResponded guards against a server that gets no
// requests because another one, which has its address, leaves.
func TestLeavingServerBehindAddressIsTheOneThatResponded(t *testing.T) {
	var requests atomic.Int64
	address := withdrawnServer(t, http.StatusOK, map[string]string{"Leaving": "1", "From": "b"}, &requests)
	p := newLatencyTargetProxy(t, preset.ClassFetch, address)
	p.send(t, http.MethodGet, "")
	_, _, leaving := p.servers[0].Stats.Withdrawal.Leaving()
	assert.Assert(t, !leaving)
}

// TestMisdirectedResponseConcernsTheHolderOfTheAddress guards against a rejection by the
// server that now has an address, which says that it leaves, and that is taken for one of the
// expected server or ignored.
func TestMisdirectedResponseConcernsTheHolderOfTheAddress(t *testing.T) {
	for _, header := range []map[string]string{{"Leaving": "1"}, {"Leaving": "1", "From": "b"}} {
		var requests atomic.Int64
		address := withdrawnServer(t, http.StatusMisdirectedRequest, header, &requests)
		p := newLatencyTargetProxy(t, preset.ClassFetch, address, address)
		p.servers[1].Weight = 0.05
		for requests.Load() == 0 || p.servers[0].Stats.DrainNoticedAt.Load() == 0 {
			p.send(t, http.MethodGet, "")
		}
		_, _, expected := p.servers[0].Stats.Withdrawal.Leaving()
		_, _, holder := p.servers[1].Stats.Withdrawal.Leaving()
		assert.Assert(t, holder && !expected)
	}
}

// TestPausedServerGetsNoRequestUntilThePauseEnds guards against requests to a server that
// asked for a pause, and against a server that gets none after it.
func TestPausedServerGetsNoRequestUntilThePauseEnds(t *testing.T) {
	const pause = 600 * time.Millisecond
	var pausing, other atomic.Int64
	header := map[string]string{"Not-Run": "1", "Retry-After": fmt.Sprint(pause.Seconds())}
	p := newLatencyTargetProxy(t, preset.ClassFetch,
		withdrawnServer(t, http.StatusServiceUnavailable, header, &pausing), withdrawnServer(t, http.StatusOK, nil, &other))
	for pausing.Load() == 0 {
		assert.Equal(t, p.send(t, http.MethodGet, "").StatusCode, http.StatusOK)
	}
	for began := time.Now(); time.Since(began) < pause-100*time.Millisecond; {
		assert.Equal(t, p.send(t, http.MethodGet, "").StatusCode, http.StatusOK)
	}
	assert.Equal(t, pausing.Load(), int64(1))
	assert.Equal(t, p.servers[0].Stats.Failures.Load(), uint64(0))
	for end := time.Now().Add(2 * time.Second); pausing.Load() == 1; {
		assert.Assert(t, time.Now().Before(end), "no request after the pause")
		p.send(t, http.MethodGet, "")
	}
}

// TestRetryAfterOfDefaultProtocolIsKept guards against requests of a gateway with the default
// protocol to a server that asked for a pause.
func TestRetryAfterOfDefaultProtocolIsKept(t *testing.T) {
	var requests atomic.Int64
	header := map[string]string{"Balsamhill-Outcome": "not-run", "Retry-After": "60"}
	p := newTestProxy(t, testConfig{class: preset.ClassFetch}, withdrawnServer(t, http.StatusServiceUnavailable, header, &requests))
	for range 5 {
		assert.Equal(t, p.send(t, http.MethodGet, "").StatusCode, http.StatusServiceUnavailable)
	}
	assert.Equal(t, requests.Load(), int64(1))
}

// TestCallIsRefusedAtOnceWhileAllServersPause guards against a call that waits in vain, or
// whose caller is not told when the first server may be asked again.
func TestCallIsRefusedAtOnceWhileAllServersPause(t *testing.T) {
	var first, second atomic.Int64
	header := func(seconds string) map[string]string {
		return map[string]string{"Not-Run": "1", "Retry-After": seconds}
	}
	p := newLatencyTargetProxy(t, preset.ClassBooking,
		withdrawnServer(t, http.StatusServiceUnavailable, header("60"), &first),
		withdrawnServer(t, http.StatusServiceUnavailable, header("20"), &second))
	for first.Load() == 0 || second.Load() == 0 {
		p.send(t, http.MethodPost, "x")
	}
	for range 5 {
		before := time.Now()
		response := p.send(t, http.MethodPost, "x")
		assert.Assert(t, time.Since(before) < 100*time.Millisecond)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, response.Header.Get("Outcome"), "not-run")
		again, err := time.ParseDuration(response.Header.Get("Again"))
		assert.NilError(t, err)
		assert.Assert(t, again > 19*time.Second && again <= 21*time.Second, "%s", again)
	}
	assert.Equal(t, first.Load()+second.Load(), int64(2))
}

// TestCallIsRefusedAtOnceWhileAllServersLeave guards against a call that is sent to a leaving
// server because there is no other, or that waits in vain.
func TestCallIsRefusedAtOnceWhileAllServersLeave(t *testing.T) {
	var requests atomic.Int64
	p := newLatencyTargetProxy(t, preset.ClassBooking,
		withdrawnServer(t, http.StatusOK, map[string]string{"Leaving": "1"}, &requests))
	assert.Equal(t, p.send(t, http.MethodPost, "x").StatusCode, http.StatusOK)
	before := time.Now()
	response := p.send(t, http.MethodPost, "x")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Outcome"), "not-run")
	assert.Assert(t, time.Since(before) < 100*time.Millisecond)
	assert.Equal(t, requests.Load(), int64(1))
}

// TestCallWaitsForPauseThatEndsInTime guards against a call that is refused although the only
// server ends its pause well before the deadline of the call.
func TestCallWaitsForPauseThatEndsInTime(t *testing.T) {
	var requests atomic.Int64
	p := newLatencyTargetProxy(t, preset.ClassFetch, withdrawnServer(t, http.StatusOK, nil, &requests))
	const pause = 300 * time.Millisecond
	p.servers[0].Stats.Withdrawal.RecordPause(p.now(), pause, 0)
	before := time.Now()
	assert.Equal(t, p.send(t, http.MethodGet, "").StatusCode, http.StatusOK)
	assert.Assert(t, time.Since(before) >= pause)
}

// transportFunc is a proxy.ServerTransport that calls a function before each request.
type transportFunc struct {
	proxy.ServerTransport
	before func(request *http.Request)
}

func (f transportFunc) RoundTrip(service string, fresh bool, request *http.Request) (*http.Response, error) {
	f.before(request)
	return f.ServerTransport.RoundTrip(service, fresh, request)
}

// TestCallThatChoseServerBeforeItWithdrewGoesElsewhere guards against a request that is sent
// to a server that withdrew while the call waited for a connection, and against a call that
// fails or counts as a retry for that reason.
func TestCallThatChoseServerBeforeItWithdrewGoesElsewhere(t *testing.T) {
	withdrawals := map[string]func(now int64, server *routing.Server){
		"leaves": func(now int64, server *routing.Server) {
			proxy.Withdrawal{Leaving: true}.Record(now, server.Stats.Withdrawal)
		},
		"pauses": func(now int64, server *routing.Server) {
			proxy.Withdrawal{Pause: time.Minute}.Record(now, server.Stats.Withdrawal)
		},
	}
	for desc, withdraw := range withdrawals {
		for _, http2 := range []bool{false, true} {
			for _, class := range []preset.Class{preset.ClassFetch, preset.ClassBooking} {
				t.Run(fmt.Sprint(desc, " HTTP/2 ", http2, " ", class), func(t *testing.T) {
					var requests [2]atomic.Int64
					var withdrawn atomic.Pointer[routing.Server]
					var p *testProxy
					p = newTestProxy(t, testConfig{http2: http2, class: class, configure: func(config *proxy.Config) {
						useRoute(routing.Route{Class: class})(config)
						config.Protocol = headerProtocol{}
						now := config.Now
						config.Transport = transportFunc{config.Transport, func(request *http.Request) {
							for _, server := range p.servers {
								if server.Address == request.URL.Host && withdrawn.CompareAndSwap(nil, server) {
									withdraw(now(), server)
								}
							}
						}}
					}}, withdrawnServer(t, http.StatusOK, nil, &requests[0]), withdrawnServer(t, http.StatusOK, nil, &requests[1]))
					for range 5 {
						assert.Equal(t, p.send(t, http.MethodPost, "x").StatusCode, http.StatusOK)
					}
					for i, server := range p.servers {
						want := int64(5)
						if server == withdrawn.Load() {
							want = 0
						}
						assert.Equal(t, requests[i].Load(), want)
						assert.Equal(t, server.Stats.Failures.Load(), uint64(0))
						assert.Equal(t, server.Stats.InFlight(), int64(0))
					}
				})
			}
		}
	}
}

// TestHedgeThatLosesTellsThatServerLeaves guards against a response to the slower of two
// attempts that says that its server leaves and is not read.
func TestHedgeThatLosesTellsThatServerLeaves(t *testing.T) {
	headerSent := make(chan struct{}, 1)
	slow := startRawServer(t, func(conn net.Conn) {
		buffer := make([]byte, 4096)
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		// The body never ends, so the call is decided by the other server.
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 7\r\nLeaving: 1\r\nContent-Length: 10\r\n\r\nx")
		headerSent <- struct{}{}
		_, _ = conn.Read(buffer)
	})
	var other atomic.Int64
	p := newLatencyTargetProxy(t, preset.ClassFetch, slow, withdrawnServer(t, http.StatusOK, nil, &other))
	for sent := false; !sent; {
		p.send(t, http.MethodGet, "")
		select {
		case <-headerSent:
			sent = true
		default:
		}
	}
	_, _, leaving := p.servers[0].Stats.Withdrawal.Leaving()
	assert.Assert(t, leaving)
}
