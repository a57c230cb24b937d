package responsecheck

import "net/http"

// Parsed checks a response as a client library returns it. It suffices for HTTP/2, where the library
// checks the names of fields, and where the end of a stream tells a whole body.
func Parsed(response *http.Response) *Error {
	if !ValidStatus(response.StatusCode) {
		return refuse(ReasonStatus, "invalid status", []byte(response.Status))
	}
	lengths := response.Header["Content-Length"]
	if len(lengths) > 1 {
		return &Error{ReasonFraming, "more than one length"}
	}
	if len(lengths) == 1 {
		if _, err := parseDigits([]byte(lengths[0])); err != nil {
			return refuse(ReasonFraming, "invalid length", []byte(lengths[0]))
		}
	}
	if !selfDelimiting(response) {
		return &Error{ReasonUnframed, "neither a length nor chunks"}
	}
	return nil
}

// selfDelimiting reports whether the end of a body can be distinguished from a lost connection. The
// compressed form of one that the library has decompressed has its own end.
func selfDelimiting(response *http.Response) bool {
	return response.ProtoMajor >= 2 || response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Uncompressed ||
		response.Body == http.NoBody || response.StatusCode == http.StatusSwitchingProtocols ||
		response.Request != nil && response.Request.Method == http.MethodHead
}
