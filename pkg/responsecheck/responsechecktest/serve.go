package responsechecktest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Server answers each request with a text, whatever it is.
type Server struct {
	Address  string
	Requests atomic.Int64
	// Closed receives a value when the other side has closed a connection.
	Closed chan struct{}
	next   func() string
	once   bool
}

// Start starts a server that keeps its connections open.
func Start(t testing.TB, text string) *Server {
	return start(t, &Server{next: func() string { return text }})
}

// Serve returns the address of a server that closes a connection after one response.
func Serve(t testing.TB, text string) string {
	return ServeEach(t, func() string { return text })
}

// ServeEach is Serve with a text that next returns for each request.
func ServeEach(t testing.TB, next func() string) string {
	return start(t, &Server{next: next, once: true}).Address
}

func start(t testing.TB, s *Server) *Server {
	t.Helper()
	listener := Listen(t)
	s.Address, s.Closed = listener.Addr().String(), make(chan struct{}, 1)
	go s.serve(listener)
	return s
}

// Listen returns a listener on a free port that is closed when the test ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// Answer is Serve on a listener, until that is closed.
func Answer(listener net.Listener, text string) {
	s := &Server{next: func() string { return text }, once: true}
	s.serve(listener)
}

func (s *Server) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.answer(conn)
	}
}

func (s *Server) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		if err != nil {
			break
		}
		s.Requests.Add(1)
		// The test fails by what it reads if this does.
		_, _ = io.WriteString(conn, s.next())
		if s.once {
			return
		}
	}
	select {
	case s.Closed <- struct{}{}:
	default:
	}
}

// Call sends a request on a connection of its own and returns all bytes that come back, as no client
// library would show them.
func Call(t testing.TB, address, method, body string, chunked bool) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	head := method + " /a HTTP/1.1\r\nHost: x\r\nId: 7\r\nConnection: close\r\n"
	go func() {
		// The other side may close the connection before it has read the body.
		switch {
		case chunked:
			_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
		case body != "":
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		default:
			_, _ = io.WriteString(conn, head+"\r\n")
		}
	}()
	// A reset ends what came back, too.
	received, _ := io.ReadAll(conn)
	return string(received)
}
