package processtest

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards the main path through separate processes: a gateway serves a caller's
// request, and a preset that the tool puts in force is in force on all gateways.
func TestEndToEnd(t *testing.T) {
	f := startFleet(t)
	f.startServer("lesson-library", "khomas")
	f.startServer("booking-desk", "khomas")
	first := f.startGateway("gw-1", "khomas")
	second := f.startGateway("gw-2", "erongo")
	for _, g := range []*gatewayProcess{first, second} {
		eventually(t, "both services served", func() bool {
			library, _ := get(g.traffic + "/lesson-library/clip")
			booking, _ := get(g.traffic + "/booking-desk/free")
			return library == http.StatusOK && booking == http.StatusOK
		})
	}
	status, body := get(first.traffic + "/lesson-library/clip")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.Contains(body, `"path":"/lesson-library/clip"`), body)

	f.tool(0, "preset", "use", "peak", "-why", "exam week")
	var statuses []struct {
		ID     string `json:"id"`
		Preset string `json:"preset"`
	}
	assert.NilError(t, json.Unmarshal([]byte(f.tool(0, "status", "-json")), &statuses))
	assert.Equal(t, len(statuses), 2)
	for _, gateway := range statuses {
		assert.Equal(t, gateway.Preset, "peak", gateway.ID)
	}
}
