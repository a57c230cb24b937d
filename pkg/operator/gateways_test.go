package operator

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/membership"
	"balsamhill/pkg/responsecheck/responsechecktest"
)

// TestInvalidStatusIsNotBelieved guards against a gateway that is shown as reachable, with the state
// from what is no response.
func TestInvalidStatusIsNotBelieved(t *testing.T) {
	reachable := func(text string) bool {
		return queryGateway(t.Context(), gatewayRow{Row: membership.Row{Admin: responsechecktest.Serve(t, text)}}).Reachable
	}
	for desc, text := range responsechecktest.Invalid("") {
		t.Run(desc, func(t *testing.T) { assert.Assert(t, !reachable(text)) })
	}
	assert.Assert(t, reachable("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
}
