package handoffconn

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/gossip"
	"balsamhill/pkg/routing"
	"balsamhill/pkg/serverconn"
)

// fleet is what a sender knows of other gateways.
type fleet struct {
	now   int64
	known []gossip.HandoffCandidate
}

func newFleet(ids ...string) (*fleet, *Sender) {
	f := &fleet{now: 1}
	for _, id := range ids {
		f.known = append(f.known, gossip.HandoffCandidate{Heard: true, Gateway: gossip.Gateway{ID: id, Address: id, Region: "r", Incarnation: 1}})
	}
	return f, NewSender(Config{
		Dial:   serverconn.Dial,
		Region: "r", Required: func() bool { return true }, Now: func() int64 { return f.now },
		Known: func(int64) []gossip.HandoffCandidate { return f.known },
	})
}

// TestFailedGatewayIsLastChoice guards against calls that keep going to a gateway that does not take
// them, and against a gateway that is never chosen again.
func TestFailedGatewayIsLastChoice(t *testing.T) {
	f, s := newFleet("a", "b")
	failed := s.Choose(nil)
	s.Failed(failed)
	for range 20 {
		assert.Assert(t, s.Choose(nil) != failed)
	}
	assert.Equal(t, s.Choose([]*routing.Server{s.Choose(nil)}), failed)
	f.now += int64(suspension)
	chosen := make(map[string]bool)
	for range 50 {
		chosen[s.Choose(nil).ID] = true
	}
	assert.Equal(t, len(chosen), 2)
}

// TestRestartedGatewayStartsAnew guards against the calls in flight and the suspension of a gateway's
// last process that count for its next one.
func TestRestartedGatewayStartsAnew(t *testing.T) {
	f, s := newFleet("a")
	before := s.Choose(nil)
	before.Stats.Start()
	s.Failed(before)
	f.known[0].Gateway.Incarnation = 2
	after := s.Choose(nil)
	assert.Assert(t, after != before && after.Stats.InFlight() == 0)
	s.Failed(before)
	assert.Equal(t, s.gateways["a"].suspendedUntil, int64(0))
}

// TestUnknownGatewaysAreForgotten guards against a map that grows with each gateway that ever was.
func TestUnknownGatewaysAreForgotten(t *testing.T) {
	f, s := newFleet("a", "b")
	s.Choose(nil)
	assert.Equal(t, len(s.gateways), 2)
	f.known = f.known[:1]
	s.Choose(nil)
	assert.Equal(t, len(s.gateways), 1)
	f.known = nil
	assert.Assert(t, s.Choose(nil) == nil && !s.Possible())
}

// TestRequestReachesGateway guards against requests that are sent elsewhere than to the gateway.
func TestRequestReachesGateway(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }))
	defer server.Close()
	_, s := newFleet("a")
	request, err := http.NewRequest(http.MethodGet, server.URL+"/x", nil)
	assert.NilError(t, err)
	response, err := s.RoundTrip(true, request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "/x")
	s.CloseIdleConnections()
}
