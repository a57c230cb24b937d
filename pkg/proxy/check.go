package proxy

import (
	"net/http"
	"strings"
)

// checkRequest refuses requests that a server could interpret differently from this
// gateway. It reports whether the request was accepted.
//
// Routes match the decoded path, but the path is sent exactly as it was received. A
// path that a server could interpret differently is refused with 400 instead of being
// normalized: a normalized path is not what the caller requested, and the class of the
// matched route decides whether a call may run twice. This applies to dot segments,
// empty segments, encoded slashes, backslashes and control characters.
func checkRequest(p *Proxy, w http.ResponseWriter, r *http.Request, arrived int64) bool {
	status, detail := inspect(r)
	if status == 0 {
		return true
	}
	p.config.Metrics.badRequest.Inc()
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	p.refuseUnrouted(w, r, arrived, 0, status, detail)
	return false
}

func inspect(r *http.Request) (status int, detail string) {
	switch {
	case !r.ProtoAtLeast(1, 1):
		// The end of an HTTP/1.0 response without a length cannot be distinguished
		// from a lost connection.
		return http.StatusHTTPVersionNotSupported, "HTTP/1.0 is not supported"
	case r.Method == http.MethodConnect:
		return http.StatusBadRequest, "CONNECT is not supported"
	case len(r.Header[keyHeader]) > 1:
		return http.StatusBadRequest, "more than one " + keyHeader
	case len(r.Header[keyHeader]) == 1 && r.Header[keyHeader][0] == "":
		return http.StatusBadRequest, "empty " + keyHeader
	case !unambiguousPath(r.URL.Path):
		return http.StatusBadRequest, "the path has dot segments, empty segments or forbidden characters"
	case hasEncodedSeparator(r.URL.RawPath, false) || hasEncodedSeparator(r.URL.Path, true):
		return http.StatusBadRequest, "the path has an encoded separator"
	default:
		return 0, ""
	}
}

// unambiguousPath reports whether all servers interpret a decoded path alike. A
// segment of dots followed by a semicolon and parameters counts as a dot segment,
// because some servers remove the parameters first.
func unambiguousPath(path string) bool {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return false
	}
	for i := range len(path) {
		if path[i] < ' ' || path[i] == 0x7f || path[i] == '\\' {
			return false
		}
	}
	for rest != "" {
		segment, after, found := strings.Cut(rest, "/")
		name, _, _ := strings.Cut(segment, ";")
		if name == "" || name == "." || name == ".." {
			return false
		}
		if !found {
			break
		}
		rest = after
	}
	return true
}

// hasEncodedSeparator reports whether a path contains an encoded separator or, if
// includeDots is set, an encoded dot. An encoded slash in the raw path becomes a
// separator when it is decoded. One that is still encoded in the decoded path was
// encoded twice, and some servers decode twice.
func hasEncodedSeparator(path string, includeDots bool) bool {
	for {
		_, rest, found := strings.Cut(path, "%")
		if !found {
			return false
		}
		if len(rest) >= 2 && isSeparatorCode(rest[0], rest[1]|0x20, includeDots) {
			return true
		}
		path = rest
	}
}

// isSeparatorCode reports whether two hexadecimal digits encode a slash, a backslash
// or, if includeDots is set, a dot.
func isSeparatorCode(high, low byte, includeDots bool) bool {
	return high == '2' && (low == 'f' || includeDots && low == 'e') || high == '5' && low == 'c'
}
