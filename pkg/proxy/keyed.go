package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/crashguard"
)

// claimIdentity identifies the call towards Claims.
func (c *call) claimIdentity() claim.Call {
	if c.claimCall.Key == "" {
		c.claimCall = claim.Call{
			Service:     c.serviceName,
			Key:         c.key,
			Fingerprint: c.requestFingerprint(),
			Arrived:     c.arrived,
		}
	}
	return c.claimCall
}

// requestFingerprint hashes the method, the path with its query, and the body as
// far as it is known. The same request must match itself however its body is
// framed, because a resend through another proxy may be framed differently.
func (c *call) requestFingerprint() uint64 {
	digest := xxhash.New()
	writeField(digest, c.r.Method)
	writeField(digest, c.r.URL.RequestURI())
	return claim.NewFingerprint(digest.Sum64(), c.body.fingerprint())
}

// fingerprint returns what is known of the body before the call is claimed.
func (b *requestBody) fingerprint() claim.BodyPart {
	switch {
	// The read that ends a body of unknown length may bring the byte beyond the limit.
	case b.overflowed || b.call.r.ContentLength > maxBufferedBody || len(b.buffered) > maxBufferedBody:
		return claim.BodyLarge
	case !b.present || b.buffered != nil:
		return claim.BodyPartOfHash(xxhash.Sum64(b.buffered))
	default:
		return claim.BodyNotRead
	}
}

// writeField separates fields, so that moving a byte from one to the next
// changes the hash.
func writeField(digest *xxhash.Digest, field string) {
	_, _ = digest.WriteString(field)
	_, _ = digest.Write([]byte{0})
}

// acquireClaim asks for the right to dispatch the call and answers the caller if this
// gateway does not get it.
func (c *call) acquireClaim() bool {
	if c.proxy.config.Claims == nil {
		if c.proxy.config.ForwardUnclaimed {
			return true
		}
		c.refuse(http.StatusServiceUnavailable, "this gateway cannot claim idempotency keys")
		return false
	}
	ctx := c.r.Context()
	if c.deadline != 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(c.deadline-c.proxy.config.Now()))
		defer cancel()
	}
	decision := c.proxy.config.Claims.Claim(ctx, c.claimIdentity())
	c.proxy.config.Metrics.claims[decision.Kind].Inc()
	switch {
	case decision.Kind == claim.Dispatch:
		c.ticket = &decision.Ticket
		c.detachFromCaller()
		return true
	case decision.Kind == claim.Replay && decision.Response != nil:
		c.replayResponse(decision.Response)
	case decision.Kind == claim.Ran || decision.Kind == claim.Replay:
		c.w.Header().Set(replayHeader, "ran")
		c.refuseClaim(http.StatusConflict, Unknown, "the call with this key ran; its answer was not kept")
	case decision.Kind == claim.Mismatch:
		// The key belongs to another request, so nothing is said about that one.
		c.refuseClaim(http.StatusUnprocessableEntity, Unknown, "the key was used for a different request")
	case decision.NotRun:
		c.refuseClaim(http.StatusServiceUnavailable, NotRun, decision.Reason)
	default:
		c.refuseClaim(http.StatusServiceUnavailable, Unknown, decision.Reason)
	}
	return false
}

// detachFromCaller lets a claimed call whose body is complete go on when its caller
// leaves: the answer is then recorded, and a resend gets it instead of unknown.
// The deadline still ends the call.
func (c *call) detachFromCaller() {
	if c.deadline != 0 && (!c.body.present || c.body.buffered != nil) {
		c.baseContext = context.WithoutCancel(c.baseContext)
	}
}

// refuseClaim answers in place of a server with an outcome that the claim gave.
func (c *call) refuseClaim(status int, outcome Outcome, detail string) {
	c.proxy.config.Metrics.outcomes[outcome].Inc()
	c.closeIfBodyUnread()
	c.proxy.refuse(c.w, status, outcome, detail, defaultRetryAfter)
}

// replayResponse sends the recorded answer of the run.
func (c *call) replayResponse(answer *claim.RecordedResponse) {
	copyResponseHeader(c.proxy.config.Protocol, c.w.Header(), answer.Header)
	c.w.Header().Set(replayHeader, "answer")
	c.closeIfBodyUnread()
	c.w.WriteHeader(answer.Status)
	_ = c.control.SetWriteDeadline(time.Now().Add(c.idleTimeout()))
	if len(answer.Body) == 0 {
		return
	}
	_, err := c.w.Write(answer.Body)
	if err != nil {
		c.proxy.config.Metrics.canceled.Inc()
	}
}

// finishClaim records the result of a claimed call once.
func (c *call) finishClaim(result claim.Result) (notRun bool) {
	if c.claimFinished {
		return false
	}
	c.claimFinished = true
	return c.proxy.config.Claims.Finish(c.r.Context(), *c.ticket, result)
}

const (
	// guardPrefix is how much of a body counts for the crash guard.
	guardPrefix = 4 << 10
	// guardWait bounds how long a suspected request waits for its turn.
	guardWait = 250 * time.Millisecond
	guardPoll = 10 * time.Millisecond
)

// admitByCrashGuard asks the crash guard about one attempt. An empty reason means that
// the attempt may be sent.
func (c *call) admitByCrashGuard(fingerprint crashguard.Fingerprint) (reason string) {
	guard := c.proxy.config.CrashGuard
	admission := guard.Admit(c.proxy.config.Now(), fingerprint)
	for waited := time.Duration(0); admission == crashguard.Busy && waited < guardWait; waited += guardPoll {
		select {
		case <-time.After(guardPoll):
		case <-c.baseContext.Done():
			return "the caller left"
		}
		admission = guard.Admit(c.proxy.config.Now(), fingerprint)
	}
	switch admission {
	case crashguard.Allowed:
		return ""
	case crashguard.Busy:
		c.proxy.config.Metrics.guardBusy.Inc()
		return "the same request may have stopped a server and is being tried already"
	default:
		c.proxy.config.Metrics.guardBlocked.Inc()
		return "the same request stopped servers and is held back"
	}
}

// crashFingerprint identifies the request over several sends. Of a body that is
// streamed, the first bytes are read ahead, unless the caller waits for the
// server's consent (Expect: 100-continue).
func (c *call) crashFingerprint() crashguard.Fingerprint {
	digest := xxhash.New()
	writeField(digest, c.serviceName)
	writeField(digest, c.r.Method)
	writeField(digest, c.r.URL.Path)
	if c.route.IdempotencyFromClass {
		// Paths of such routes are shared by many callers, and a request that comes
		// again comes from the same one.
		writeField(digest, c.peer.String())
	}
	switch {
	case c.key != "":
		writeField(digest, c.key)
	case c.body.buffered != nil:
		_, _ = digest.Write(c.body.buffered[:min(len(c.body.buffered), guardPrefix)])
	case c.body.present && c.r.Header.Get("Expect") == "":
		_, _ = digest.Write(c.body.peek(guardPrefix))
	}
	return crashguard.Fingerprint(digest.Sum64())
}

// peek returns the first bytes of a streamed body. If its length is unknown, one
// read must do: the caller may wait for the answer before it sends more.
func (b *requestBody) peek(limit int) []byte {
	if !b.replayable() {
		return nil
	}
	if len(b.prefix) == 0 && len(b.kept) == 0 {
		data := make([]byte, limit)
		wanted := int(min(int64(limit), max(1, b.call.r.ContentLength)))
		read := 0
		for read < wanted {
			n, err := b.read(data[read:], 0)
			read += n
			if err != nil {
				break
			}
		}
		b.returnBytes(data[:read])
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.prefix
	if b.keeps() {
		first = b.kept
	}
	return first[:min(len(first), limit)]
}
