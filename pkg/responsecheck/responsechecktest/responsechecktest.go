// Package responsechecktest has what is no HTTP response, for the tests of all that read responses.
package responsechecktest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// fieldsMark stands for the fields that the caller of Invalid adds.
const fieldsMark = "FIELDS"

// invalid holds what is no response because of its head, by what is wrong. Each would have a whole
// body, an empty JSON object.
var invalid = map[string]string{
	"status 000":                     "HTTP/1.1 000 X\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"status 001":                     "HTTP/1.1 001 X\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"status 099":                     "HTTP/1.1 099 X\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"status +20":                     "HTTP/1.1 +20 X\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"status -20":                     "HTTP/1.1 -20 X\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"status 20":                      "HTTP/1.1 20 X\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"status 600":                     "HTTP/1.1 600 X\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"status 999":                     "HTTP/1.1 999 X\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"status 1000":                    "HTTP/1.1 1000 X\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"no status":                      "HTTP/1.1\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"control byte in the first line": "HTTP/1.1 200 O\x00K\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"empty line first":               "\r\nHTTP/1.1 200 OK\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"version 2.0":                    "HTTP/2.0 200 OK\r\nFIELDS\r\n{}",
	"version 1.2":                    "HTTP/1.2 200 OK\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"version 0.9":                    "HTTP/0.9 200 OK\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"interim status 099":             "HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 OK\r\nFIELDSContent-Length: 2\r\n\r\n{}",

	"blank in a name":               "HTTP/1.1 200 OK\r\nFIELDSBad Name: x\r\nContent-Length: 2\r\n\r\n{}",
	"blank after a name":            "HTTP/1.1 200 OK\r\nFIELDSBad : x\r\nContent-Length: 2\r\n\r\n{}",
	"blank before a name":           "HTTP/1.1 200 OK\r\nFIELDSA: b\r\n Bad: x\r\nContent-Length: 2\r\n\r\n{}",
	"blank before the first name":   "HTTP/1.1 200 OK\r\n First: x\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"tab before a name":             "HTTP/1.1 200 OK\r\nFIELDSA: b\r\n\tBad: x\r\nContent-Length: 2\r\n\r\n{}",
	"tab in a name":                 "HTTP/1.1 200 OK\r\nFIELDSBad\tName: x\r\nContent-Length: 2\r\n\r\n{}",
	"control byte in a name":        "HTTP/1.1 200 OK\r\nFIELDSBad\x01: x\r\nContent-Length: 2\r\n\r\n{}",
	"NUL in a name":                 "HTTP/1.1 200 OK\r\nFIELDSBad\x00: x\r\nContent-Length: 2\r\n\r\n{}",
	"DEL in a name":                 "HTTP/1.1 200 OK\r\nFIELDSBad\x7f: x\r\nContent-Length: 2\r\n\r\n{}",
	"CR in a name":                  "HTTP/1.1 200 OK\r\nFIELDSBad\rName: x\r\nContent-Length: 2\r\n\r\n{}",
	"empty name":                    "HTTP/1.1 200 OK\r\nFIELDS: x\r\nContent-Length: 2\r\n\r\n{}",
	"no colon":                      "HTTP/1.1 200 OK\r\nFIELDSBad\r\nContent-Length: 2\r\n\r\n{}",
	"control byte in a value":       "HTTP/1.1 200 OK\r\nFIELDSBad: x\x01\r\nContent-Length: 2\r\n\r\n{}",
	"CR in a value":                 "HTTP/1.1 200 OK\r\nFIELDSBad: x\rContent-Length: 9\r\nContent-Length: 2\r\n\r\n{}",
	"blank after Content-Length":    "HTTP/1.1 200 OK\r\nFIELDSContent-Length : 1\r\nContent-Length: 2\r\n\r\n{}",
	"blank after Transfer-Encoding": "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\n{}",
	"blank in Content-Length":       "HTTP/1.1 200 OK\r\nFIELDSContent Length: 1\r\nContent-Length: 2\r\n\r\n{}",
	"interim, blank after a name":   "HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\nHTTP/1.1 200 OK\r\nFIELDSContent-Length: 2\r\n\r\n{}",
	"interim, blank before a name":  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n Bad: x\r\n\r\nHTTP/1.1 200 OK\r\nFIELDSContent-Length: 2\r\n\r\n{}",

	"a length and chunks":       "HTTP/1.1 200 OK\r\nFIELDSContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"two lengths":               "HTTP/1.1 200 OK\r\nFIELDSContent-Length: 2\r\nContent-Length: 1\r\n\r\n{}",
	"a list of lengths":         "HTTP/1.1 200 OK\r\nFIELDSContent-Length: 2, 2\r\n\r\n{}",
	"a signed length":           "HTTP/1.1 200 OK\r\nFIELDSContent-Length: +2\r\n\r\n{}",
	"an empty length":           "HTTP/1.1 200 OK\r\nFIELDSContent-Length:\r\n\r\n{}",
	"an unknown coding":         "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: gzip, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"chunked twice":             "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":        "HTTP/1.0 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"a switch nobody asked for": "HTTP/1.1 101 Switching Protocols\r\nFIELDSConnection: Upgrade\r\nUpgrade: x\r\n\r\n{}",

	"neither a length nor chunks": "HTTP/1.1 200 OK\r\nFIELDSConnection: close\r\n\r\n{}",
}

// Invalid returns what is no response, by what is wrong. fields are lines that are added to each head.
func Invalid(fields string) map[string]string {
	texts := make(map[string]string, len(invalid))
	for desc, text := range invalid {
		texts[desc] = strings.ReplaceAll(text, fieldsMark, fields)
	}
	return texts
}

// Serve returns the address of a server that answers one request on each connection with the text and
// then closes it.
func Serve(t testing.TB, text string) string {
	t.Helper()
	return ServeEach(t, func() string { return text })
}

// ServeEach is Serve with a text that next returns for each request.
func ServeEach(t testing.TB, next func() string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(conn, next)
		}
	}()
	return listener.Addr().String()
}

func answer(conn net.Conn, next func() string) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	// The test fails by what it reads if this does.
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, next())
}
