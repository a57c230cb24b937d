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
// or 409 (conflict).
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
	// Hang makes every call wait until the caller gives up.
	Hang bool `json:"hang,omitempty"`
	// DelayMillis delays each call of the table service and the object store.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// LoseCommitAnswers is the number of next commits that take effect but whose
	// connection is closed before the answer.
	LoseCommitAnswers int64 `json:"loseCommitAnswers,omitempty"`
	// ListLagMillis is the age of the VM list that GET /vms returns.
	ListLagMillis int64 `json:"listLagMillis,omitempty"`
	// ListDown makes GET /vms answer 503.
	ListDown bool `json:"listDown,omitempty"`
}
