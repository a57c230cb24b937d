package httpplatform

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
)

// FuzzCommitAnswer guards against an incomplete or foreign response that is accepted
// as proof that a transaction was applied: every applied transaction has a commit
// sequence number.
func FuzzCommitAnswer(f *testing.F) {
	f.Add(200, []byte(`{"version":3}`))
	f.Add(200, []byte(`{}`))
	f.Add(200, []byte(`null`))
	f.Add(409, []byte(`{"conflicts":[{"key":"a"}]}`))
	f.Add(503, []byte(``))
	f.Add(500, []byte(`{"version":3}`))
	var status atomic.Int64
	var body atomic.Pointer[[]byte]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(int(status.Load()))
		_, _ = w.Write(*body.Load())
	}))
	f.Cleanup(server.Close)
	client := New(server.URL)
	f.Cleanup(client.Close)
	f.Fuzz(func(t *testing.T, code int, response []byte) {
		if code < 200 || code > 599 || code == http.StatusNoContent || code == http.StatusNotModified {
			return
		}
		status.Store(int64(code))
		body.Store(&response)
		result := client.Commit(t.Context(), platform.Txn{})
		switch result.Status {
		case platform.CommitApplied:
			assert.Equal(t, code, http.StatusOK)
			assert.Assert(t, result.Version > 0, "%q", response)
		case platform.CommitConflict:
			assert.Equal(t, code, http.StatusConflict)
		case platform.CommitNotApplied:
			assert.Assert(t, code >= 400 && code < 500 || code == http.StatusServiceUnavailable)
		}
	})
}
