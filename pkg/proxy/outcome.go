package proxy

import (
	"encoding/json"
	"net/http"
)

// Outcome says whether a refused or failed call ran.
type Outcome string

const (
	// NotRun promises that the call did not run and will not run.
	NotRun Outcome = "not-run"
	// Unknown means that the call may have run.
	Unknown Outcome = "unknown"
)

// outcomeHeader carries the outcome of a refused or failed call.
const outcomeHeader = "Balsamhill-Outcome"

// problem is the body of a refusal (RFC 9457).
type problem struct {
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome"`
}

// refuse answers in place of a server.
func refuse(w http.ResponseWriter, status int, outcome Outcome, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(outcomeHeader, string(outcome))
	w.WriteHeader(status)
	// An error here means that the caller has gone away.
	_ = json.NewEncoder(w).Encode(problem{
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome,
	})
}
