package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/handoff"
)

// requestedUpgrade returns the protocol to which an HTTP/1.1 request asks to switch,
// empty if there is none. h2c is not forwarded: it would give a caller an HTTP/2
// connection to a server on which the gateway does not process the requests.
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

// switchProtocols tunnels between the caller's and the server's connection until one
// of them ends.
func (c *call) switchProtocols(a *attempt) {
	server, ok := a.response.Body.(io.ReadWriteCloser)
	if !ok {
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
	c.setHandoffOutcome(header, handoff.Answered)
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

// tunnel copies in both directions until one direction ends or no data passes for the
// idle timeout. It then closes both connections, which stops the other direction.
func (c *call) tunnel(caller net.Conn, fromCaller io.Reader, server io.ReadWriteCloser) {
	stop := func() {
		_ = caller.Close()
		_ = server.Close()
	}
	idle := c.idleTimeout()
	stall := time.AfterFunc(idle, stop)
	defer stall.Stop()
	done := make(chan struct{}, 2)
	copyDirection := func(to io.Writer, from io.Reader) {
		pooled := bufferPool.Get().(*[]byte)
		defer bufferPool.Put(pooled)
		copyUntilError(to, from, *pooled, func() { stall.Reset(idle) })
		done <- struct{}{}
	}
	go copyDirection(server, fromCaller)
	go copyDirection(caller, server)
	<-done
	stop()
	<-done
}

func copyUntilError(to io.Writer, from io.Reader, buffer []byte, onProgress func()) {
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			onProgress()
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
