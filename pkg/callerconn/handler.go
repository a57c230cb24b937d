package callerconn

import (
	"context"
	"io"
	"net/http"

	"balsamhill/pkg/connlimit"
)

// handler admits requests before it passes them to next.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		switch g.begin(c) {
		case connlimit.Gone:
			// The connection is being closed, so the request must not reach a server.
			panic(http.ErrAbortHandler)
		case connlimit.Refused:
			g.config.Refuse(w, r)
			return
		}
		defer g.end(c)
		if r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0 {
			// After a response beside an unread body http.Server keeps the connection open for a while,
			// but only if it finds its own body in the request.
			r = r.WithContext(r.Context())
			r.Body = &requestBody{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

func (g *Guard) begin(c *conn) connlimit.Admission {
	g.mu.Lock()
	defer g.mu.Unlock()
	admission := g.table.Begin(g.now(), g.config.Rules(), c.entry)
	if admission == connlimit.Refused {
		g.count(connlimit.Crowded)
	}
	return admission
}

func (g *Guard) end(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.End(g.now(), c.entry)
}

// requestBody reports how long the process waits for a request body.
type requestBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (n int, err error) {
	guard, entry := b.conn.guard, b.conn.entry
	entry.BeginRead(guard.now())
	defer func() { entry.EndRead(guard.now(), n) }()
	return b.ReadCloser.Read(p)
}

// KeepBytes reports whether the call whose request has a context may keep so many more bytes of its
// bodies until it ends. For bytes that are essential, slower connections are closed. Requests that
// did not come through a Guard may.
func KeepBytes(ctx context.Context, bytes int, essential bool) bool {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c == nil || c.guard.keep(c, bytes, essential)
}

func (g *Guard) keep(c *conn, bytes int, essential bool) bool {
	g.mu.Lock()
	kept, victims := g.table.Keep(g.now(), g.config.Rules(), c.entry, bytes, essential)
	closing := g.removeAll(victims, connlimit.BodyMemory)
	g.mu.Unlock()
	for _, other := range closing {
		_ = other.Conn.Close()
	}
	return kept
}
