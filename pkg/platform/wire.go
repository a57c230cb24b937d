package platform

import "time"

// The types below are the JSON bodies of the HTTP protocol between
// package httpplatform and package standin.

// GetRequest is the body of POST /table/get.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ReadResponse is the response body of POST /table/get, GET /table/scan and
// GET /table/changes.
type ReadResponse struct {
	Rows []Row     `json:"rows"`
	Next uint64    `json:"next,omitempty"`
	More bool      `json:"more,omitempty"`
	Time time.Time `json:"time"`
}

// CommitResponse is the response body of POST /table/commit with status 200
// (applied) or 409 (conflict). Status 503 and all other 4xx statuses guarantee that
// nothing was written. After any other status, or without a response, the
// transaction may have been applied or may be applied later.
type CommitResponse struct {
	Version   uint64    `json:"version,omitempty"`
	Conflicts []Row     `json:"conflicts,omitempty"`
	Time      time.Time `json:"time"`
}

// VMListResponse is the response body of GET /vms.
type VMListResponse struct {
	VMs []VM `json:"vms"`
}

// Faults is the body of PUT /standin/faults on the stand-in. The zero value
// switches all faults off.
type Faults struct {
	// Down makes the table service and the object store respond with 503.
	Down bool `json:"down,omitempty"`
	// Hang makes the table service and the object store hold each request until the
	// client cancels it. The request has no effect.
	Hang bool `json:"hang,omitempty"`
	// DelayMillis delays each request to the table service and the object store. A
	// write takes effect after the delay even if the client has cancelled it by then.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// LoseCommitResponses is the number of the next commits that are applied, but
	// whose connection is closed before the response. Commits with a conflict do not
	// count.
	LoseCommitResponses int64 `json:"loseCommitAnswers,omitempty"`
	// DownAfterWrite is a key prefix. The next commit that writes a row with this
	// prefix gets its response; all later requests see an outage as with Down.
	DownAfterWrite string `json:"downAfterWrite,omitempty"`
	// ListLagMillis is the age of the VM list that GET /vms returns, at most 1 h.
	ListLagMillis int64 `json:"listLagMillis,omitempty"`
	// ListDown makes GET /vms respond with 503.
	ListDown bool `json:"listDown,omitempty"`
}
