package platformtest

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
)

// Guards against faults that report a certainty that the table does not have.
func TestCommitFaults(t *testing.T) {
	tests := []struct {
		desc    string
		fault   CommitFault
		status  platform.CommitStatus
		applied bool
		later   int
	}{
		{desc: "none", fault: CommitOK, status: platform.CommitApplied, applied: true},
		{desc: "answer lost", fault: LoseAnswer, status: platform.CommitUnknown, applied: true},
		{desc: "request lost", fault: LoseRequest, status: platform.CommitUnknown},
		{desc: "refused", fault: RefuseCommit, status: platform.CommitNotApplied},
		{desc: "delayed", fault: DelayCommit, status: platform.CommitUnknown, later: 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			table := New()
			table.FailCommits(test.fault)
			txn := platform.Txn{Checks: []platform.Check{{Key: "k"}}, Writes: []platform.Write{{Key: "k"}}}
			assert.Equal(t, table.Commit(context.Background(), txn).Status, test.status)
			result, err := table.Get(context.Background(), "k")
			assert.NilError(t, err)
			assert.Equal(t, len(result.Rows) == 1, test.applied)
			assert.Equal(t, result.Time, table.Now)
			assert.Equal(t, table.ApplyDelayed(), test.later)
			assert.Equal(t, table.ApplyDelayed(), 0)
		})
	}
}
