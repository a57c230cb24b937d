package edge

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/gossip"
	"balsamhill/pkg/routing"
)

// TestLogNamesGatewayThatFoundServerUnresponsive guards against logs that do not say by whose
// probes a server counts as unresponsive.
func TestLogNamesGatewayThatFoundServerUnresponsive(t *testing.T) {
	e := idleEdge(t, "g1")
	var lines bytes.Buffer
	e.log = slog.New(slog.NewJSONHandler(&lines, nil))
	server := &routing.Server{ID: "a", Service: "s", Region: "r", FailureDomain: "d", Stats: &routing.Stats{}}
	snapshot := snapshotOf(server)
	snapshot.ServersByID = map[string]*routing.Server{"a": server}
	e.indexed.Store(newIndexedSnapshot(snapshot))
	peer := gossip.Gateway{ID: "g2", Region: "r", FailureDomain: "d", HighCapacity: true, Incarnation: 1}
	report := gossip.Report{Server: gossip.ServerKey(server.ID), Age: time.Millisecond, Unresponsive: true}
	e.receive(&gossip.Message{Key: gossip.KeyOf("g2"), Incarnation: 1, Sequence: 1, Sender: &peer, Reports: []gossip.Report{report}})
	assert.Assert(t, server.Stats.Unresponsive())
	assert.Assert(t, bytes.Contains(lines.Bytes(), []byte(`"unresponsive":true,"prober":"g2"`)), "%s", lines.String())
}
