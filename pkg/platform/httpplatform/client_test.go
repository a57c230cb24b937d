package httpplatform

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
)

// Guards against an answer that is taken for certain although the transaction
// may have been applied, and against one that is sent twice.
func TestCommitStatusOfAnswers(t *testing.T) {
	tests := []struct {
		desc   string
		answer func(w http.ResponseWriter)
		want   platform.CommitStatus
	}{
		{desc: "applied", want: platform.CommitApplied, answer: func(w http.ResponseWriter) { _, _ = w.Write([]byte(`{"version": 3}`)) }},
		{desc: "applied, cut body", want: platform.CommitUnknown, answer: func(w http.ResponseWriter) { _, _ = w.Write([]byte(`{"vers`)) }},
		{desc: "conflict without body", want: platform.CommitUnknown, answer: func(w http.ResponseWriter) { w.WriteHeader(409) }},
		{desc: "bad request", want: platform.CommitNotApplied, answer: func(w http.ResponseWriter) { w.WriteHeader(400) }},
		{desc: "outage", want: platform.CommitNotApplied, answer: func(w http.ResponseWriter) { w.WriteHeader(503) }},
		{desc: "internal error", want: platform.CommitUnknown, answer: func(w http.ResponseWriter) { w.WriteHeader(500) }},
		{desc: "gateway timeout", want: platform.CommitUnknown, answer: func(w http.ResponseWriter) { w.WriteHeader(504) }},
		{desc: "redirect", want: platform.CommitUnknown, answer: func(w http.ResponseWriter) {
			w.Header().Set("Location", "/table/commit")
			w.WriteHeader(307)
		}},
		{desc: "connection closed", want: platform.CommitUnknown, answer: func(http.ResponseWriter) { panic(http.ErrAbortHandler) }},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			requests := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				requests++
				test.answer(w)
			}))
			client := New(server.URL)
			assert.Equal(t, client.Commit(t.Context(), platform.Txn{}).Status, test.want)
			client.Close()
			server.Close()
			assert.Equal(t, requests, 1)
			assert.Equal(t, client.Commit(t.Context(), platform.Txn{}).Status, platform.CommitNotApplied)
		})
	}
}
