package responsecheck

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// head is the head of a response as far as it has arrived.
type head struct {
	status int
	// minorVersion is the x of HTTP/1.x.
	minorVersion int
	// length is the value of Content-Length if hasLength is set.
	length    int64
	hasLength bool
	chunked   bool
	// upgrades says that the server names a protocol to which it switches.
	upgrades bool
}

// The length of a status code, and its position in a status line such as "HTTP/1.1 200 OK".
const (
	statusDigits = 3
	statusAt     = len("HTTP/1.x ")
)

// statusLine checks the first line of a head (RFC 9112, 4).
func (h *head) statusLine(line []byte) *Error {
	if len(line) < statusAt+statusDigits || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[statusAt-1] != ' ' {
		return refuse(ReasonStatusLine, "invalid status line", line)
	}
	status, rest := line[statusAt:statusAt+statusDigits], line[statusAt+statusDigits:]
	if len(rest) > 0 && rest[0] != ' ' || !isText(rest) {
		return refuse(ReasonStatusLine, "invalid status line", line)
	}
	switch line[statusAt-2] {
	case '0':
	case '1':
		h.minorVersion = 1
	default:
		return refuse(ReasonStatusLine, "unknown version", line)
	}
	code, err := parseDigits(status)
	if err != nil || !ValidStatus(int(code)) {
		return refuse(ReasonStatus, "invalid status", status)
	}
	h.status = int(code)
	return nil
}

// ValidStatus reports whether a status code is one of HTTP (RFC 9110, 15).
func ValidStatus(code int) bool {
	const minStatus, maxStatus = 100, 599
	return code >= minStatus && code <= maxStatus
}

// field checks a field line and records those that frame the body.
func (h *head) field(line []byte) *Error {
	name, value, refusal := splitField(line)
	if refusal != nil {
		return refusal
	}
	switch {
	case isNamed(name, "Content-Length"):
		return h.contentLength(value)
	case isNamed(name, "Transfer-Encoding"):
		if h.chunked || !strings.EqualFold(string(value), "chunked") {
			return refuse(ReasonFraming, "unknown transfer coding", value)
		}
		h.chunked = true
	case isNamed(name, "Upgrade"):
		h.upgrades = len(value) > 0
	}
	return nil
}

// contentLength records a length. A repetition of the same one is not ambiguous (RFC 9112, 6.3).
func (h *head) contentLength(value []byte) *Error {
	length, err := parseDigits(value)
	if err != nil || h.hasLength && length != h.length {
		return refuse(ReasonFraming, "invalid or differing length", value)
	}
	h.length, h.hasLength = length, true
	return nil
}

// end returns the phase that follows the head, and the length of a body with a length
// (RFC 9112, 6.3).
func (h *head) end(request Request) (next phase, length int64, refusal *Error) {
	switch {
	case h.chunked && h.hasLength:
		return 0, 0, &Error{ReasonFraming, "both a length and chunks"}
	case h.chunked && h.minorVersion == 0:
		return 0, 0, &Error{ReasonFraming, "chunks in HTTP/1.0"}
	case h.status == http.StatusSwitchingProtocols:
		if !request.Upgrade || !h.upgrades {
			return 0, 0, &Error{ReasonUpgrade, "switch to another protocol that was not asked for"}
		}
		return phaseTunnel, 0, nil
	case h.status < http.StatusOK:
		return phaseStatusLine, 0, nil
	case request.Method == http.MethodHead || h.status == http.StatusNoContent || h.status == http.StatusNotModified:
		return phaseIdle, 0, nil
	case h.chunked:
		return phaseChunkSize, 0, nil
	case !h.hasLength:
		return 0, 0, &Error{ReasonUnframed, "neither a length nor chunks"}
	case h.length == 0:
		return phaseIdle, 0, nil
	default:
		return phaseBody, h.length, nil
	}
}

// splitField returns the name and the value of a field line, and refuses a line that is none
// (RFC 9112, 5). Lines that continue the one before are refused too: a parser may take them for
// a field of their own.
func splitField(line []byte) (name, value []byte, refusal *Error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found || !isToken(name):
		return nil, nil, refuse(ReasonField, "invalid field name", name)
	case !isText(value):
		return nil, nil, refuse(ReasonField, "control byte in the value of a field", line)
	}
	return name, bytes.Trim(value, " \t"), nil
}

// trailerField checks a field line after the last chunk. One that would frame a body must not be
// passed on (RFC 9110, 6.5.1).
func trailerField(line []byte) *Error {
	name, _, refusal := splitField(line)
	if refusal != nil {
		return refusal
	}
	if isNamed(name, "Content-Length") || isNamed(name, "Transfer-Encoding") {
		return refuse(ReasonField, "field not allowed in a trailer", name)
	}
	return nil
}

// isNamed reports whether the name of a field is the given one.
func isNamed(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}

// parseChunkSize parses a chunk-size line without its end.
func parseChunkSize(line []byte) (int64, *Error) {
	digits, _, _ := bytes.Cut(bytes.TrimRight(line, " \t"), []byte(";"))
	size, err := strconv.ParseUint(string(digits), 16, 63)
	if err != nil || !isText(line) {
		return 0, refuse(ReasonFraming, "invalid chunk size", line)
	}
	return int64(size), nil
}

// parseDigits parses a decimal number without a sign.
func parseDigits(text []byte) (int64, error) {
	value, err := strconv.ParseUint(string(text), 10, 63)
	return int64(value), err
}

// isToken reports whether text is a name (RFC 9110, 5.6.2).
func isToken(text []byte) bool {
	for _, b := range text {
		if !isTokenByte(b) {
			return false
		}
	}
	return len(text) > 0
}

func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
}

// isText reports whether text has no control bytes other than tabs (RFC 9110, 5.5).
func isText(text []byte) bool {
	const del = 0x7f
	for _, b := range text {
		if b < ' ' && b != '\t' || b == del {
			return false
		}
	}
	return true
}
