package processtest

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// activePreset returns the preset and revision in force on a gateway.
func (g *gatewayProcess) activePreset() (string, uint64) {
	_, body := get(g.admin + "/status")
	var status struct {
		Preset   string `json:"preset"`
		Revision uint64 `json:"revision"`
	}
	if json.Unmarshal([]byte(body), &status) != nil {
		return "", 0
	}
	return status.Preset, status.Revision
}

// Guards against an accepted preset that reaches no gateway because the store goes
// down before a gateway reads it: the tool must offer it to the gateways directly.
func TestStoreDownRightAfterAcceptance(t *testing.T) {
	f := startFleet(t)
	gateways := []*gatewayProcess{f.startGateway("gw-1", "khomas"), f.startGateway("gw-2", "erongo")}
	f.faults(`{"downAfterWrite":"audit/"}`)
	f.tool(0, "preset", "use", "peak")
	for _, g := range gateways {
		eventually(t, "preset peak in force", func() bool {
			name, _ := g.activePreset()
			return name == "peak"
		})
	}
	f.faults(`{}`)
	output := f.tool(0, "preset", "current")
	assert.Assert(t, len(output) > 0)
	name, revision := gateways[0].activePreset()
	assert.Equal(t, name, "peak")
	assert.Equal(t, revision, uint64(5))
}
