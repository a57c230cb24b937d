// Package responsechecktest has what is no HTTP response, for the tests of all that read responses.
package responsechecktest

import "strings"

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

// invalidChunked holds what is no body in chunks, by what is wrong.
var invalidChunked = map[string]string{
	"chunk size with a sign":             "+2\r\nok\r\n0\r\n\r\n",
	"chunk size with a blank before":     " 2\r\nok\r\n0\r\n\r\n",
	"chunk size with a prefix":           "0x2\r\nok\r\n0\r\n\r\n",
	"chunk size too large":               "fffffffffffffffff\r\nok\r\n0\r\n\r\n",
	"no chunk size":                      "\r\nok\r\n0\r\n\r\n",
	"control byte in an extension":       "2;a=\x01\r\nok\r\n0\r\n\r\n",
	"CR in an extension":                 "2;a\r2\r\nok\r\n0\r\n\r\n",
	"chunk longer than its size":         "2\r\nokay\r\n0\r\n\r\n",
	"blank after the name of a trailer":  "2\r\nok\r\n0\r\nSum : 1\r\n\r\n",
	"blank in the name of a trailer":     "2\r\nok\r\n0\r\nMy Sum: 1\r\n\r\n",
	"blank before the name of a trailer": "2\r\nok\r\n0\r\nSum: 1\r\n Bad: 1\r\n\r\n",
	"control byte in a trailer":          "2\r\nok\r\n0\r\nSum: \x01\r\n\r\n",
	"length in a trailer":                "2\r\nok\r\n0\r\nContent-Length: 1\r\n\r\n",
	"coding in a trailer":                "2\r\nok\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n",
}

// InvalidBodies returns responses whose head is valid and whose body or trailer is not, by what is wrong.
func InvalidBodies(fields string) map[string]string {
	texts := make(map[string]string, len(invalidChunked))
	for desc, text := range invalidChunked {
		texts[desc] = "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + text
	}
	return texts
}

// Exchange is a response to a request with a method, and what its caller must get.
type Exchange struct {
	Method, Response string
	Status           int
	Body             string
}

// Usual returns what servers that are well send, by what is special.
func Usual(fields string) map[string]Exchange {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	return map[string]Exchange{
		"length":                       {"POST", ok + "Content-Length: 4\r\n\r\ngood", 200, "good"},
		"the same length twice":        {"POST", ok + "Content-Length: 4\r\nContent-Length: 4\r\n\r\ngood", 200, "good"},
		"chunks":                       {"POST", ok + "Transfer-Encoding: Chunked\r\n\r\n3\r\ngoo\r\n01\r\nd\r\n0\r\n\r\n", 200, "good"},
		"chunk extension":              {"POST", ok + "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\ngood\r\n0\r\n\r\n", 200, "good"},
		"trailer":                      {"POST", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nSum: 1\r\n\r\n", 200, "good"},
		"no body":                      {"POST", ok + "Content-Length: 0\r\n\r\n", 200, ""},
		"no content":                   {"POST", "HTTP/1.1 204 No Content\r\n" + fields + "\r\n", 204, ""},
		"not modified":                 {"GET", "HTTP/1.1 304 Not Modified\r\n" + fields + "Content-Length: 4\r\n\r\n", 304, ""},
		"HEAD, length":                 {"HEAD", ok + "Content-Length: 4\r\n\r\n", 200, ""},
		"HEAD, no length":              {"HEAD", ok + "\r\n", 200, ""},
		"interim responses":            {"POST", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + ok + "Content-Length: 4\r\n\r\ngood", 200, "good"},
		"no reason":                    {"POST", "HTTP/1.1 200\r\n" + fields + "Content-Length: 4\r\n\r\ngood", 200, "good"},
		"empty reason":                 {"POST", "HTTP/1.1 200 \r\n" + fields + "Content-Length: 4\r\n\r\ngood", 200, "good"},
		"unknown status of a class":    {"POST", "HTTP/1.1 599 X\r\n" + fields + "Content-Length: 4\r\n\r\ngood", 599, "good"},
		"tab and other bytes in value": {"POST", ok + "A:\tb\tc \xe9\t\r\nContent-Length:4 \r\n\r\ngood", 200, "good"},
		"unusual name":                 {"POST", ok + "a!#$%&'*+.^_`|~9: x\r\ncontent-LENGTH: 4\r\n\r\ngood", 200, "good"},
		"line feeds only":              {"POST", strings.ReplaceAll(ok, "\r\n", "\n") + "Content-Length: 4\n\ngood", 200, "good"},
		"HTTP/1.0":                     {"POST", "HTTP/1.0 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\ngood", 200, "good"},
	}
}
