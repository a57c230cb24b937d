package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamhill/pkg/claim"
	"balsamhill/pkg/crashguard"
)

// claimIdentity returns the service, key and fingerprint under which the call is
// claimed, and when it arrived.
func (c *call) claimIdentity() claim.Call {
	if c.claimCall.Key == "" {
		c.claimCall = claim.Call{
			Service:     c.serviceName,
			Key:         c.idempotencyKey,
			Fingerprint: c.requestFingerprint(),
			Arrived:     c.arrived,
		}
	}
	return c.claimCall
}

// requestFingerprint hashes the method, the path with its query, and as much of the
// body as was buffered. The fingerprint does not depend on the framing of the body,
// because a resend through another proxy may be framed differently.
func (c *call) requestFingerprint() uint64 {
	digest := xxhash.New()
	writeField(digest, c.r.Method)
	writeField(digest, c.r.URL.RequestURI())
	return claim.NewFingerprint(digest.Sum64(), c.body.fingerprint())
}

// fingerprint returns the part of the fingerprint that the body contributes.
func (b *requestBody) fingerprint() claim.BodyPart {
	switch {
	// readUpTo may return one byte more than its limit.
	case b.overflowed || b.call.r.ContentLength > maxBufferedBodyBytes || len(b.buffered) > maxBufferedBodyBytes:
		return claim.BodyLarge
	case !b.present || b.buffered != nil:
		return claim.BodyPartOfHash(xxhash.Sum64(b.buffered))
	default:
		return claim.BodyNotRead
	}
}

// writeField hashes a field and a separator, so that moving a byte from one field to
// the next changes the hash.
func writeField(digest *xxhash.Digest, field string) {
	_, _ = digest.WriteString(field)
	_, _ = digest.Write([]byte{0})
}

// acquireClaim claims the right to dispatch the call. If the claim is not granted, it
// responds to the caller and returns false.
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
		// The key belongs to another request, whose state is not disclosed.
		c.refuseClaim(http.StatusUnprocessableEntity, Unknown, "the key was used for a different request")
	case decision.NotRun:
		c.refuseClaim(http.StatusServiceUnavailable, NotRun, decision.Reason)
	default:
		c.refuseClaim(http.StatusServiceUnavailable, Unknown, decision.Reason)
	}
	return false
}

// detachFromCaller lets a claimed call whose body is complete continue after its
// caller disconnects. The response is then recorded, and a resend gets it instead of
// the outcome unknown. The deadline still ends the call.
func (c *call) detachFromCaller() {
	if c.deadline != 0 && (!c.body.present || c.body.buffered != nil) {
		c.baseContext = context.WithoutCancel(c.baseContext)
	}
}

// refuseClaim refuses the call with the outcome that the claim determined.
func (c *call) refuseClaim(status int, outcome Outcome, detail string) {
	c.proxy.config.Metrics.outcomes[outcome].Inc()
	c.closeIfBodyUnread()
	c.proxy.refuse(c.w, status, outcome, detail, defaultRetryAfter)
}

// replayResponse sends the recorded response of the earlier run.
func (c *call) replayResponse(response *claim.RecordedResponse) {
	copyResponseHeader(c.proxy.config.Protocol, c.w.Header(), response.Header)
	c.w.Header().Set(replayHeader, "answer")
	c.closeIfBodyUnread()
	c.w.WriteHeader(response.Status)
	_ = c.control.SetWriteDeadline(time.Now().Add(c.idleTimeout()))
	if len(response.Body) == 0 {
		return
	}
	_, err := c.w.Write(response.Body)
	if err != nil {
		c.proxy.config.Metrics.canceled.Inc()
	}
}

// finishClaim records the result of a claimed call. Only the first call has an effect.
func (c *call) finishClaim(result claim.Result) (notRun bool) {
	if c.claimFinished {
		return false
	}
	c.claimFinished = true
	return c.proxy.config.Claims.Finish(c.r.Context(), *c.ticket, result)
}

const (
	// crashFingerprintBytes is how many bytes of a body are part of the crash guard's
	// fingerprint.
	crashFingerprintBytes = 4 << 10
	// guardBusyTimeout limits how long a suspected request waits while another
	// attempt of it is in flight.
	guardBusyTimeout  = 250 * time.Millisecond
	guardPollInterval = 10 * time.Millisecond
)

// admitByCrashGuard asks the crash guard to admit one attempt. It returns an empty
// reason if the attempt may be sent.
func (c *call) admitByCrashGuard(fingerprint crashguard.Fingerprint) (reason string) {
	guard := c.proxy.config.CrashGuard
	admission := guard.Admit(c.proxy.config.Now(), fingerprint)
	for waited := time.Duration(0); admission == crashguard.Busy && waited < guardBusyTimeout; waited += guardPollInterval {
		select {
		case <-time.After(guardPollInterval):
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

// computeCrashFingerprint returns the fingerprint that identifies the request across resends.
// It reads the first bytes of a streamed body ahead, unless the caller waits for
// 100 Continue from the server before it sends the body.
func (c *call) computeCrashFingerprint() crashguard.Fingerprint {
	digest := xxhash.New()
	writeField(digest, c.serviceName)
	writeField(digest, c.r.Method)
	writeField(digest, c.r.URL.Path)
	if c.route.IdempotencyFromClass {
		// Many callers share the paths of such routes, and a request is resent by the
		// same caller.
		writeField(digest, c.peer.String())
	}
	switch {
	case c.idempotencyKey != "":
		writeField(digest, c.idempotencyKey)
	case c.body.buffered != nil:
		_, _ = digest.Write(c.body.buffered[:min(len(c.body.buffered), crashFingerprintBytes)])
	case c.body.present && c.r.Header.Get("Expect") == "":
		_, _ = digest.Write(c.body.peek(crashFingerprintBytes))
	}
	return crashguard.Fingerprint(digest.Sum64())
}

// peek returns the first bytes of a streamed body without consuming them. If the
// length is unknown, it reads only once, because the caller may wait for the response
// before it sends more.
func (b *requestBody) peek(limit int) []byte {
	if !b.replayable() {
		return nil
	}
	if len(b.readAhead) == 0 && len(b.replayBuffer) == 0 {
		data := make([]byte, limit)
		minBytes := int(min(int64(limit), max(1, b.call.r.ContentLength)))
		read := 0
		for read < minBytes {
			n, err := b.read(data[read:], 0)
			read += n
			if err != nil {
				break
			}
		}
		b.unread(data[:read])
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.readAhead
	if b.replayComplete() {
		first = b.replayBuffer
	}
	return first[:min(len(first), limit)]
}
