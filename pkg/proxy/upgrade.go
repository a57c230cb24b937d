package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"balsamhill/pkg/claim"
)

// requestedUpgrade returns the protocol that an HTTP/1.1 request wants to switch to.
// h2c is not passed on: it would let a caller open an HTTP/2 connection to a
// server on which this gateway sees no requests.
func requestedUpgrade(r *http.Request) string {
	if r.ProtoMajor != 1 || len(r.Header["Upgrade"]) != 1 {
		return ""
	}
	protocol := r.Header["Upgrade"][0]
	if strings.Contains(strings.ToLower(protocol), "h2c") {
		return ""
	}
	for _, line := range r.Header["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "upgrade") {
				return protocol
			}
		}
	}
	return ""
}

// switchProtocols joins the caller's and the server's connection until one of
// them ends.
func (c *call) switchProtocols(a *attempt) {
	server, ok := a.response.Body.(io.ReadWriteCloser)
	if !ok || c.upgrade == "" {
		c.refuse(http.StatusBadGateway, "the server switched protocols without being asked")
		return
	}
	if c.ticket != nil {
		c.finishClaim(claim.Result{Kind: claim.ResultDone})
	}
	conn, buffered, err := c.control.Hijack()
	if err != nil {
		c.proxy.config.Metrics.canceled.Inc()
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Time{})
	if c.writeSwitchingProtocols(buffered.Writer, a.response) != nil {
		c.proxy.config.Metrics.canceled.Inc()
		return
	}
	c.proxy.config.Metrics.upgraded.Inc()
	c.tunnel(conn, buffered.Reader, server)
}

func (c *call) writeSwitchingProtocols(w *bufio.Writer, response *http.Response) error {
	header := http.Header{}
	copyResponseHeader(c.proxy.config.Protocol, header, response.Header)
	header.Set("Connection", "Upgrade")
	header.Set("Upgrade", response.Header.Get("Upgrade"))
	c.proxy.config.Protocol.SetRequestID(header, c.requestID)
	_, err := w.WriteString("HTTP/1.1 101 Switching Protocols\r\n")
	if err != nil {
		return err
	}
	err = header.Write(w)
	if err != nil {
		return err
	}
	_, err = w.WriteString("\r\n")
	if err != nil {
		return err
	}
	return w.Flush()
}

// tunnel copies both ways until one direction ends or nothing moves for the idle
// time. Closing both ends then stops the other direction.
func (c *call) tunnel(caller net.Conn, fromCaller io.Reader, server io.ReadWriteCloser) {
	stop := func() {
		_ = caller.Close()
		_ = server.Close()
	}
	idle := c.idleTimeout()
	stall := time.AfterFunc(idle, stop)
	defer stall.Stop()
	ended := make(chan struct{}, 2)
	pump := func(to io.Writer, from io.Reader) {
		pooled := bufferPool.Get().(*[]byte)
		defer bufferPool.Put(pooled)
		copyUntilEnd(to, from, *pooled, func() { stall.Reset(idle) })
		ended <- struct{}{}
	}
	go pump(server, fromCaller)
	go pump(caller, server)
	<-ended
	stop()
	<-ended
}

func copyUntilEnd(to io.Writer, from io.Reader, buffer []byte, moved func()) {
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			moved()
			_, writeErr := to.Write(buffer[:n])
			if writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
