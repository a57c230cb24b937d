package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/preset"
)

// readRequest reads a request with its body.
func readRequest(reader *bufio.Reader) (*http.Request, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request, err
}

// TestAnswerCutInItsHeadIsNeverASuccess guards against an answer whose server stopped in
// the middle of the head and closed or reset the connection, and that a caller gets as a
// success with an empty or short body.
func TestAnswerCutInItsHeadIsNeverASuccess(t *testing.T) {
	heads := map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 12\r\n\r\n",
		"chunks": "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n",
		"none":   "HTTP/1.1 200 OK\r\nId: 7\r\nConnection: close\r\n\r\n",
		"bare":   "HTTP/1.1 200 OK\nId: 7\nContent-Length: 12\n\n",
		"1xx":    "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 12\r\n\r\n",
	}
	for name, head := range heads {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " reset ", reset), func(t *testing.T) {
				var cut atomic.Int64
				p := newLatencyTargetProxy(t, preset.ClassBooking, startRawServer(t, func(conn net.Conn) {
					reader := bufio.NewReader(conn)
					for first := true; ; first = false {
						if _, err := readRequest(reader); err != nil {
							return
						}
						if first && cut.Load()%2 == 0 {
							// Every second cut is on a connection that carried an answer before.
							_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n")
							continue
						}
						_, _ = io.WriteString(conn, head[:cut.Load()])
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						return
					}
				}))
				for at := range len(head) {
					cut.Store(int64(at))
					response := p.send(t, http.MethodPost, "x")
					if at%2 == 0 && response.StatusCode == http.StatusOK {
						response = p.send(t, http.MethodPost, "x")
					}
					assert.Equal(t, response.StatusCode, http.StatusBadGateway, "cut at %d", at)
					assert.Equal(t, response.Header.Get("Outcome"), "unknown")
				}
			})
		}
	}
}

// runLog counts how often each request ran, by request ID.
type runLog struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *runLog) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string]int)
	}
	l.runs[id]++
}

func (l *runLog) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// repeatingServer refuses the first request on each connection and writes this refusal once
// more at the given moment; it runs all others.
func repeatingServer(t *testing.T, withID bool, delay time.Duration, ran *runLog) string {
	return startRawServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		refusal := ""
		for {
			request, err := readRequest(reader)
			if err != nil {
				return
			}
			if refusal == "" {
				id := ""
				if withID {
					id = "Id: " + request.Header.Get("Id") + "\r\n"
				}
				refusal = "HTTP/1.1 503 Service Unavailable\r\n" + id + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
				own := "HTTP/1.1 503 Service Unavailable\r\nId: " + request.Header.Get("Id") + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
				_, _ = io.WriteString(conn, own)
				time.Sleep(delay)
				_, _ = io.WriteString(conn, refusal)
				continue
			}
			ran.add(request.Header.Get("Id"))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
		}
	})
}

// lateRunTime is how long after the last call a server may still read a request from a
// connection that the gateway has closed.
const lateRunTime = 100 * time.Millisecond

// TestRepeatedRefusalIsNotTakenForAnAnswer guards against an earlier refusal that a server
// wrote once more on a kept connection: a call that ran would be called not run, or would
// run again at another server.
func TestRepeatedRefusalIsNotTakenForAnAnswer(t *testing.T) {
	for _, withID := range []bool{true, false} {
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprint("id ", withID, " after ", delay), func(t *testing.T) {
				var ran runLog
				p := newLatencyTargetProxy(t, preset.ClassBooking, repeatingServer(t, withID, delay, &ran))
				outcomes := make([]string, 40)
				for i := range outcomes {
					request, err := http.NewRequest(http.MethodPost, p.url+"/a", strings.NewReader("x"))
					assert.NilError(t, err)
					request.Header.Set("Id", fmt.Sprint("call", i))
					response, err := http.DefaultClient.Do(request)
					assert.NilError(t, err)
					assert.NilError(t, response.Body.Close())
					outcomes[i] = response.Header.Get("Outcome")
				}
				// A server runs a request that it has received after the answer of the gateway.
				time.Sleep(lateRunTime)
				for i, outcome := range outcomes {
					runs := ran.count(fmt.Sprint("call", i))
					assert.Assert(t, runs <= 1, "call %d ran %d times", i, runs)
					if outcome == "not-run" {
						assert.Equal(t, runs, 0, "call %d was called not run and ran", i)
					}
				}
			})
		}
	}
}
