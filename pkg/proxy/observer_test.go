package proxy_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/preset"
	"balsamhill/pkg/proxy"
	"balsamhill/pkg/routing"
)

// refusalRecorder records the refusals that an observer receives.
type refusalRecorder []proxy.RefusalEvent

func (*refusalRecorder) AttemptFailed(proxy.AttemptEvent)       {}
func (r *refusalRecorder) CallRefused(event proxy.RefusalEvent) { *r = append(*r, event) }
func (*refusalRecorder) CallCompleted(proxy.CallEvent)          {}
func (*refusalRecorder) CallTruncated(proxy.CallEvent, error)   {}
func (*refusalRecorder) CallCanceled(proxy.CallEvent)           {}
func (*refusalRecorder) CallLate(proxy.CallEvent)               {}

// TestRefusalsWithoutRouteAreObserved guards against refused calls without a log
// line, such as those that a gateway refuses after its start because it has no routes
// yet.
func TestRefusalsWithoutRouteAreObserved(t *testing.T) {
	tests := []struct {
		desc, path string
		routes     *routing.RouteTable
		want       int
	}{
		{"routes are not known yet", "/a", nil, http.StatusServiceUnavailable},
		{"no route matches", "/a", routing.NewRouteTable([]routing.Route{{Host: "other", PathPrefix: "/"}}), http.StatusNotFound},
		{"malformed path", "/a/../b", nil, http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var seen refusalRecorder
			p := newTestProxy(t, testConfig{configure: func(config *proxy.Config) {
				config.Protocol = headerProtocol{}
				config.Snapshot = func() *routing.Snapshot { return nil }
				config.Routes = test.routes
				config.Observer = &seen
			}})
			request := httptest.NewRequest(http.MethodGet, "http://h/a", nil)
			request.URL.Path = test.path
			request.Header.Set("Id", "7")
			recorder := httptest.NewRecorder()
			p.proxy.ServeHTTP(recorder, request)
			assert.Equal(t, recorder.Code, test.want)
			assert.Equal(t, len(seen), 1)
			assert.Equal(t, seen[0].RequestID, "7")
			assert.Equal(t, seen[0].Status, test.want)
			assert.Equal(t, seen[0].Outcome, proxy.NotRun)
		})
	}
}

// lateCallRecorder sends the late calls that an observer receives to a channel.
type lateCallRecorder struct {
	refusalRecorder
	events chan proxy.CallEvent
}

func (l *lateCallRecorder) CallLate(event proxy.CallEvent) { l.events <- event }

// TestLateCallIsReportedWhileInFlight guards against calls without any log line: a
// late call is reported while it is in flight, because a gateway that loses power
// never logs its end. A call that meets its latency target is not reported.
func TestLateCallIsReportedWhileInFlight(t *testing.T) {
	for _, class := range []preset.Class{preset.ClassFetch, preset.ClassBooking} {
		t.Run(string(class), func(t *testing.T) {
			seen := &lateCallRecorder{events: make(chan proxy.CallEvent, 10)}
			held := make(chan struct{})
			p := newObservedProxy(t, class, seen, startServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPut {
					<-held
				}
				echoBody(w, r)
			}))
			p.send(t, http.MethodGet, "")
			status := make(chan int)
			go func() { status <- p.send(t, http.MethodPut, "").StatusCode }()
			event := <-seen.events
			assert.Equal(t, event.RequestID, "7")
			assert.Equal(t, event.ServerID, p.servers[0].ID)
			assert.Equal(t, event.Attempts, 1)
			assert.Assert(t, event.Took >= event.Target && event.Target > 0, "%v of %v", event.Took, event.Target)
			close(held)
			assert.Equal(t, <-status, http.StatusOK)
			assert.Equal(t, len(seen.events), 0)
		})
	}
}
