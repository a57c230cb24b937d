package claimstore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/claim"
)

// TestCallRunsOnceAfterStoreReturn guards against a second run of a call whose claim and
// result a store lost when it returned from an older copy: its caller sends it again,
// through the same gateway or another one.
func TestCallRunsOnceAfterStoreReturn(t *testing.T) {
	for _, resendTo := range []int{0, 1} {
		inFleet(t, 2, func(t *testing.T, f *fleet) {
			sent := request{Gateway: 0, Key: 1, Timeout: 3 * time.Second, Outcome: outcomeResponded}
			assert.Equal(t, f.serve(sent).Kind, claim.Dispatch)
			time.Sleep(5 * time.Second)
			f.table.returnFrom(0)
			time.Sleep(5 * time.Second)
			sent.Gateway = resendTo
			f.serve(sent)
			assert.Check(t, len(f.oracle.runs[1]) == 1, "%d runs, sent again through gateway %d", len(f.oracle.runs[1]), resendTo)
		})
	}
}

// TestNotRunIsNotReportedForRowThatStoreLost guards against the outcome not-run for a call that
// ran, because the store has returned without its row and the gateway that ran it has started
// again.
func TestNotRunIsNotReportedForRowThatStoreLost(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		sent := request{Gateway: 0, Key: 1, Timeout: 3 * time.Second, Outcome: outcomeResponded}
		assert.Equal(t, f.serve(sent).Kind, claim.Dispatch)
		time.Sleep(5 * time.Second)
		f.table.returnFrom(0)
		f.restart(0)
		time.Sleep(5 * time.Second)
		assert.Check(t, !f.gateway(1).store.VerifyNotRun(t.Context(), callOf("1")))
	})
}
