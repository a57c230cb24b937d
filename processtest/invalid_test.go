package processtest

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/httpplatform"
	"balsamhill/pkg/responsecheck/responsechecktest"
)

// Guards against what is no response of a server and that a caller of serve gets as a response, or as
// a closed connection.
func TestInvalidResponsesReachNoCaller(t *testing.T) {
	f := startFleet(t)
	var text atomic.Value
	text.Store("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	client := httpplatform.New(f.url)
	defer client.Close()
	assert.NilError(t, client.RegisterVM(t.Context(), platform.VM{
		ID: "vm-invalid", Role: platform.RoleServer, Incarnation: 1, Service: "booking-desk", Region: "khomas", FailureDomain: "khomas-a",
		Address: responsechecktest.ServeEach(t, func() string { return text.Load().(string) }), State: platform.VMLive, Slots: 4,
	}))
	g := f.startGateway("gw-1", "khomas")
	f.waitForService(g, "booking-desk")
	for desc, invalid := range responsechecktest.Invalid("") {
		text.Store(invalid)
		response, err := http.Post(g.traffic+"/booking-desk/x", "", strings.NewReader("x"))
		assert.NilError(t, err, desc)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusBadGateway, desc)
		assert.Equal(t, response.Header.Get("Balsamhill-Outcome"), "unknown", desc)
	}
}
