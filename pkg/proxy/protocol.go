package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsamhill/pkg/loadreport"
	"balsamhill/pkg/retry"
)

// Protocol is what callers, gateways and servers of a deployment say to each
// other in headers. Implementations are safe for concurrent use.
type Protocol interface {
	// RequestID returns the caller's id of a request, empty if there is none that
	// can be kept.
	RequestID(header http.Header) string
	// SetRequestID puts the id of a call into the header of its answer.
	SetRequestID(header http.Header, id string)
	// TimeoutMillis returns how many milliseconds the caller waits, as text; empty if
	// it does not say.
	TimeoutMillis(header http.Header) string
	// SetRequestHeader completes the header of a request to a server.
	SetRequestHeader(header http.Header, dispatch Dispatch)
	// ClassifyResponse says what an answer is to the request that was sent.
	ClassifyResponse(response *http.Response, dispatch Dispatch) ResponseKind
	// Load returns the load that an answer reports.
	Load(header http.Header) (loadreport.Report, bool)
	// IsInternal reports whether a header of an answer is meant for gateways only.
	IsInternal(name string) bool
	// Refuse answers in place of a server.
	Refuse(w http.ResponseWriter, refusal Refusal)
}

// Dispatch is one request to one server.
type Dispatch struct {
	RequestID string
	ServerID  string
	// Attempt counts the requests of one call from 1, over all gateways.
	Attempt int
	// RemainingMillis is the time until the call's deadline, 0 for no deadline.
	RemainingMillis int64
}

// ResponseKind says what an answer is.
type ResponseKind int

const (
	// ResponseFinal is the final answer to the request.
	ResponseFinal ResponseKind = iota
	// ResponseNotRun is a refusal that guarantees that the request did not run.
	ResponseNotRun
	// ResponseWrongServer is the refusal of another server at the same address.
	ResponseWrongServer
	// ResponseUnconfirmed has a status that promises that the request did not run, but
	// lacks the guarantee.
	ResponseUnconfirmed
	// ResponseMismatched is not an answer to the request. Its connection is closed.
	ResponseMismatched
)

// Refusal is an answer in place of a server.
type Refusal struct {
	Status  int
	Outcome Outcome
	Detail  string
	// RetryAfter is when the caller may try again, 0 for no advice.
	RetryAfter time.Duration
}

// nativeProtocol is the dialect of balsamhill itself.
type nativeProtocol struct{}

var _ Protocol = nativeProtocol{}

func (nativeProtocol) RequestID(header http.Header) string {
	values := header[requestIDHeader]
	if len(values) == 1 && validRequestID(values[0]) {
		return values[0]
	}
	return ""
}

func (nativeProtocol) SetRequestID(header http.Header, id string) {
	header[requestIDHeader] = []string{id}
}

func (nativeProtocol) TimeoutMillis(header http.Header) string {
	return header.Get(timeoutHeader)
}

func (nativeProtocol) SetRequestHeader(header http.Header, dispatch Dispatch) {
	values := make(headerValues, 0, addedHeaders)
	values.set(header, requestIDHeader, dispatch.RequestID)
	values.set(header, attemptHeader, strconv.Itoa(dispatch.Attempt))
	delete(header, timeoutHeader)
	if dispatch.RemainingMillis > 0 {
		values.set(header, timeoutHeader, strconv.FormatInt(dispatch.RemainingMillis, 10))
	}
}

// ClassifyResponse implements Protocol. On a successful answer the guarantee would contradict
// the status.
func (nativeProtocol) ClassifyResponse(response *http.Response, _ Dispatch) ResponseKind {
	if response.StatusCode >= http.StatusBadRequest && response.Header.Get(outcomeHeader) == string(NotRun) {
		return ResponseNotRun
	}
	return ResponseFinal
}

func (nativeProtocol) Load(header http.Header) (loadreport.Report, bool) {
	inFlight, ok := loadreport.InFlight(header)
	return loadreport.Report{InFlight: inFlight}, ok
}

func (nativeProtocol) IsInternal(name string) bool {
	return name == loadreport.Header || name == requestIDHeader || strings.HasPrefix(name, internalPrefix)
}

// problem is the body of a refusal (RFC 9457).
type problem struct {
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome"`
}

func (nativeProtocol) Refuse(w http.ResponseWriter, refusal Refusal) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(outcomeHeader, string(refusal.Outcome))
	w.WriteHeader(refusal.Status)
	// An error here means that the caller has gone away.
	_ = json.NewEncoder(w).Encode(problem{
		Title:   http.StatusText(refusal.Status),
		Status:  refusal.Status,
		Detail:  refusal.Detail,
		Outcome: refusal.Outcome,
	})
}

// resultOf maps a judgement of an answer to how its attempt ended.
func resultOf(judgement ResponseKind, status int) retry.Result {
	switch judgement {
	case ResponseNotRun, ResponseWrongServer:
		return retry.RefusedNotRun
	case ResponseUnconfirmed:
		return retry.Shed
	case ResponseMismatched:
		return retry.ConnectionLost
	default:
		return retry.Classify(retry.Observation{Written: true, Status: status})
	}
}
