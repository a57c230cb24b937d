package platform

import "time"

// The types below are the JSON bodies of the HTTP protocol that package
// httpplatform and package standin share.

// GetRequest is the body of POST /table/get.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ReadResponse is the answer of POST /table/get, GET /table/scan and
// GET /table/changes.
type ReadResponse struct {
	Rows []Row     `json:"rows"`
	Next uint64    `json:"next,omitempty"`
	More bool      `json:"more,omitempty"`
	Time time.Time `json:"time"`
}

// CommitResponse is the answer of POST /table/commit with status 200 (applied)
// or 409 (conflict). Status 503 and other 4xx guarantee that nothing was written;
// after any other status or no answer the transaction may take effect, also later.
type CommitResponse struct {
	Version   uint64    `json:"version,omitempty"`
	Conflicts []Row     `json:"conflicts,omitempty"`
	Time      time.Time `json:"time"`
}

// VMListResponse is the answer of GET /vms.
type VMListResponse struct {
	VMs []VM `json:"vms"`
}

// Faults is the body of PUT /standin/faults on the stand-in. The zero value
// switches all faults off.
type Faults struct {
	// Down makes every call of the table service and the object store answer 503.
	Down bool `json:"down,omitempty"`
	// Hang makes every call of the table service and the object store wait until
	// the caller gives up; nothing takes effect.
	Hang bool `json:"hang,omitempty"`
	// DelayMillis delays each call of the table service and the object store. A
	// write takes effect after the delay even if the caller has given up by then.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// LoseCommitResponses is the number of next commits that take effect but whose
	// connection is closed before the answer. Commits with a conflict don't count.
	LoseCommitResponses int64 `json:"loseCommitAnswers,omitempty"`
	// DownAfterWrite starts an outage, as Down does, right after the answer to the
	// next commit that writes a row whose key starts with it.
	DownAfterWrite string `json:"downAfterWrite,omitempty"`
	// ListLagMillis is the age of the VM list that GET /vms returns, at most 1 h.
	ListLagMillis int64 `json:"listLagMillis,omitempty"`
	// ListDown makes GET /vms answer 503.
	ListDown bool `json:"listDown,omitempty"`
}
