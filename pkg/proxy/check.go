package proxy

import (
	"net/http"

	"balsamhill/pkg/requestpath"
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
	case !requestpath.Unambiguous(r.URL.Path):
		return http.StatusBadRequest, "the path has dot segments, empty segments or forbidden characters"
	case requestpath.HasEncodedSeparator(r.URL.RawPath, false) || requestpath.HasEncodedSeparator(r.URL.Path, true):
		return http.StatusBadRequest, "the path has an encoded separator"
	default:
		return 0, ""
	}
}
