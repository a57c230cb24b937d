package proxy

import (
	"net/http"
	"strings"
)

// checkRequest refuses requests that a server could read differently from this
// gateway. It reports whether the request may go on.
//
// Path rule: the path is matched in decoded form and sent exactly as it was
// received. A path for which the two could differ in meaning is refused with
// 400 instead of being cleaned, because a cleaned path is not what the caller
// asked for, and because the class of a route decides whether a call may run
// twice. This concerns dot segments, empty segments, encoded slashes,
// backslashes and control characters.
func checkRequest(p *Proxy, w http.ResponseWriter, r *http.Request, arrived int64) bool {
	status, detail := inspect(r)
	if status == 0 {
		return true
	}
	p.config.Metrics.badRequest.Inc()
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	p.refuseUnrouted(w, r, arrived, status, detail)
	return false
}

func inspect(r *http.Request) (status int, detail string) {
	switch {
	case !r.ProtoAtLeast(1, 1):
		// The end of an HTTP/1.0 answer without a length cannot be told from a
		// broken connection.
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

// unambiguousPath reports whether all servers agree on the meaning of a decoded
// path. Parameters after a semicolon do not make a dot segment harmless, since
// some servers remove them first.
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

// hasEncodedSeparator reports whether a path holds an encoded separator or, if dots is set,
// an encoded dot. In the raw path an encoded slash would show as a separator
// after decoding; what is left in the decoded path was encoded twice, and some
// servers decode twice.
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

// isSeparatorCode reports whether two hexadecimal digits encode a slash, a
// backslash or a dot.
func isSeparatorCode(high, low byte, includeDots bool) bool {
	return high == '2' && (low == 'f' || includeDots && low == 'e') || high == '5' && low == 'c'
}
