package proxy

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsamhill/pkg/loadreport"
	"balsamhill/pkg/retry"
	"balsamhill/pkg/withdrawal"
)

// Protocol maps requests and responses to the headers that the callers, gateways and
// servers of a deployment use. Implementations are safe for concurrent use.
type Protocol interface {
	// RequestID returns the request ID that the caller sent, empty if there is none
	// or it is invalid.
	RequestID(header http.Header) string
	// SetRequestID sets the request ID in the header of the response.
	SetRequestID(header http.Header, id string)
	// TimeoutMillis returns the caller's timeout in milliseconds as text, empty if the
	// caller set none.
	TimeoutMillis(header http.Header) string
	// SetRequestHeader sets the headers of a request to a server that describe the
	// attempt.
	SetRequestHeader(header http.Header, dispatch Dispatch)
	// ClassifyResponse determines the kind of a response to the dispatched request.
	ClassifyResponse(response *http.Response, dispatch Dispatch) ResponseKind
	// LoadReport returns the server's load report in the header of a response, if any.
	LoadReport(header http.Header) (loadreport.Report, bool)
	// ServerLimit returns the requests per second that the server takes from all gateways
	// together, according to the header of a response.
	ServerLimit(header http.Header) ServerLimit
	// Withdrawal returns what a response of any kind says of the work that its server
	// wants.
	Withdrawal(response *http.Response) Withdrawal
	// IsInternal reports whether a response header is meant for gateways only.
	IsInternal(name string) bool
	// Refuse writes a refusal as the response.
	Refuse(w http.ResponseWriter, refusal Refusal)
}

// ServerLimit is what a response says of its server's limit.
type ServerLimit struct {
	Kind ServerLimitKind
	// Rate is in requests per second, set if Kind is LimitNamed.
	Rate float64
}

// Withdrawal is what a response says of the work that its server wants.
type Withdrawal struct {
	// ServerID is the ID of the server that responded, empty if the response has none.
	ServerID string
	// Leaving says that the server leaves and wants no new requests.
	Leaving bool
	// Pause is how long the server wants no request of this gateway, 0 if it asks for none.
	Pause time.Duration
	// Unreadable says that a field of the header has no valid value and was ignored.
	Unreadable bool
}

// Record records a withdrawal in the status of the server that responded.
func (w Withdrawal) Record(now int64, status *withdrawal.Status) {
	if w.Leaving {
		status.RecordLeaving(now, withdrawal.SourceResponse)
	}
	status.RecordPause(now, w.Pause, rand.Float64())
}

// ServerLimitKind is the kind of a ServerLimit.
type ServerLimitKind int

const (
	// LimitUnnamed means that the response names no limit.
	LimitUnnamed ServerLimitKind = iota
	// LimitNamed means that the response names a limit.
	LimitNamed
	// LimitUnreadable means that the response names a limit that cannot be read. The
	// limit that was known before stays.
	LimitUnreadable
)

// Dispatch describes one request to one server.
type Dispatch struct {
	RequestID string
	// ServerID is empty if the request goes to another gateway.
	ServerID string
	// Handoff is the value of handoff.Header if the request goes to another gateway, else
	// empty. The protocol need not set that header.
	Handoff string
	// Attempt is the number of the attempt, counted from 1 across all gateways that
	// the call passed.
	Attempt int
	// RemainingMillis is the time until the call's deadline, 0 without a deadline.
	RemainingMillis int64
}

// ResponseKind is what a response means for the request.
type ResponseKind int

const (
	// ResponseFinal is the server's response to the request, to be delivered.
	ResponseFinal ResponseKind = iota
	// ResponseNotRun is a rejection that guarantees that the request did not run.
	ResponseNotRun
	// ResponseWrongServer is the rejection by another server that now has the address
	// of the chosen one.
	ResponseWrongServer
	// ResponseUnconfirmed has a status that implies that the request did not run, but
	// lacks the header that guarantees it.
	ResponseUnconfirmed
	// ResponseMismatched belongs to another request, or its body broke off while it was
	// buffered. Its connection is closed unless it is multiplexed.
	ResponseMismatched
)

// Refusal is a response that the gateway makes itself.
type Refusal struct {
	Status  int
	Outcome Outcome
	Detail  string
	// RetryAfter is the delay after which the caller may retry, 0 for no advice.
	RetryAfter time.Duration
}

// defaultProtocol uses the Balsamhill- headers. It applies if Config.Protocol is nil.
type defaultProtocol struct{}

var _ Protocol = defaultProtocol{}

func (defaultProtocol) RequestID(header http.Header) string {
	values := header[requestIDHeader]
	if len(values) == 1 && validRequestID(values[0]) {
		return values[0]
	}
	return ""
}

func (defaultProtocol) SetRequestID(header http.Header, id string) {
	header[requestIDHeader] = []string{id}
}

func (defaultProtocol) TimeoutMillis(header http.Header) string {
	return header.Get(timeoutHeader)
}

func (defaultProtocol) SetRequestHeader(header http.Header, dispatch Dispatch) {
	values := make(valueArena, 0, maxAddedHeaders)
	values.set(header, requestIDHeader, dispatch.RequestID)
	values.set(header, attemptHeader, strconv.Itoa(dispatch.Attempt))
	delete(header, timeoutHeader)
	if dispatch.RemainingMillis > 0 {
		values.set(header, timeoutHeader, strconv.FormatInt(dispatch.RemainingMillis, 10))
	}
}

// ClassifyResponse implements Protocol. It ignores the not-run guarantee on a
// successful response, because it contradicts the status.
func (defaultProtocol) ClassifyResponse(response *http.Response, _ Dispatch) ResponseKind {
	if response.StatusCode >= http.StatusBadRequest && response.Header.Get(outcomeHeader) == string(NotRun) {
		return ResponseNotRun
	}
	return ResponseFinal
}

func (defaultProtocol) LoadReport(header http.Header) (loadreport.Report, bool) {
	inFlight, ok := loadreport.InFlight(header)
	return loadreport.Report{InFlight: inFlight}, ok
}

// ServerLimit implements Protocol. Servers of this protocol name no limits.
func (defaultProtocol) ServerLimit(http.Header) ServerLimit {
	return ServerLimit{}
}

// Withdrawal implements Protocol. Servers of this protocol announce in another header that
// they leave; see drainingHeader.
func (defaultProtocol) Withdrawal(response *http.Response) Withdrawal {
	if response.StatusCode != http.StatusServiceUnavailable {
		return Withdrawal{}
	}
	pause, ok := withdrawal.ParseRetryAfter(response.Header)
	return Withdrawal{Pause: pause, Unreadable: !ok}
}

func (defaultProtocol) IsInternal(name string) bool {
	return name == loadreport.Header || name == requestIDHeader || strings.HasPrefix(name, internalPrefix)
}

// problem is the body of a refusal (RFC 9457).
type problem struct {
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome"`
}

func (defaultProtocol) Refuse(w http.ResponseWriter, refusal Refusal) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(outcomeHeader, string(refusal.Outcome))
	w.WriteHeader(refusal.Status)
	// A write fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(problem{
		Title:   http.StatusText(refusal.Status),
		Status:  refusal.Status,
		Detail:  refusal.Detail,
		Outcome: refusal.Outcome,
	})
}

// resultOf returns the result of an attempt whose response has the given kind and
// status.
func resultOf(kind ResponseKind, status int) retry.Result {
	switch kind {
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
