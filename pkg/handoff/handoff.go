// Package handoff decides to which other gateway a gateway hands off a call while it reaches no
// server itself, and encodes what the two tell each other about the call. A call is handed off at
// most once: a gateway that reaches no server either declines it, so that the first one can choose
// another. This package does no I/O, starts no goroutine and reads no clock: times are
// nanoseconds on the gateway's monotonic clock.
package handoff

import (
	"net/netip"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"
)

// Header is the header of requests and responses between gateways that describes a handoff.
const Header = "Balsamhill-Handoff"

// Request is what a gateway says of a call that it hands off.
type Request struct {
	// Gateway is the ID of the gateway that received the call from its caller.
	Gateway string
	// Caller is the address of the caller, invalid if it is not known.
	Caller netip.Addr
	// Sent is the number of earlier attempts that may have reached a server, and MayHaveRun
	// the number of those that may have run.
	Sent, MayHaveRun int
	// Counted says that the retry budget of that gateway includes the call.
	Counted bool
}

const (
	keyGateway    = "gateway"
	keyCaller     = "caller"
	keySent       = "sent"
	keyMayHaveRun = "ran"
	keyCounted    = "counted"
)

// String returns the value of Header.
func (r Request) String() string {
	values := url.Values{}
	values.Set(keyGateway, r.Gateway)
	if r.Caller.IsValid() {
		values.Set(keyCaller, r.Caller.String())
	}
	values.Set(keySent, strconv.Itoa(r.Sent))
	values.Set(keyMayHaveRun, strconv.Itoa(r.MayHaveRun))
	values.Set(keyCounted, strconv.FormatBool(r.Counted))
	return values.Encode()
}

// ParseRequest parses the value of Header in a request.
func ParseRequest(text string) (Request, error) {
	values, err := url.ParseQuery(text)
	if err != nil {
		return Request{}, eris.Wrap(err, "parse handoff")
	}
	r := Request{Gateway: values.Get(keyGateway)}
	if caller := values.Get(keyCaller); caller != "" {
		r.Caller, err = netip.ParseAddr(caller)
		if err != nil {
			return Request{}, eris.Wrap(err, "parse caller of a handoff")
		}
	}
	r.Sent, err = parseCount(values.Get(keySent))
	if err != nil {
		return Request{}, eris.Wrap(err, "parse attempts of a handoff that were sent")
	}
	r.MayHaveRun, err = parseCount(values.Get(keyMayHaveRun))
	if err != nil {
		return Request{}, eris.Wrap(err, "parse attempts of a handoff that may have run")
	}
	r.Counted, err = strconv.ParseBool(values.Get(keyCounted))
	return r, eris.Wrap(err, "parse whether a handoff is counted")
}

func parseCount(text string) (int, error) {
	count, err := strconv.ParseUint(text, 10, 16)
	return int(count), err
}

// Outcome is what the gateway that received a handed off call says of it.
type Outcome string

const (
	// Answered means that the response is that of a server.
	Answered Outcome = "answered"
	// Declined means that the gateway did not take the call, which has not run there and will
	// not. Another gateway may take it.
	Declined Outcome = "declined"
	// RefusedNotRun means that the response is a refusal by the gateway, and that the call has
	// not run there and will not.
	RefusedNotRun Outcome = "refused-not-run"
	// RefusedUnknown means that the response is a refusal by the gateway, and that the call may
	// have run.
	RefusedUnknown Outcome = "refused-unknown"
)
