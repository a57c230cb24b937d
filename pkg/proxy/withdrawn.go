package proxy

import (
	"net/http"
	"time"

	"balsamhill/pkg/retry"
	"balsamhill/pkg/routing"
)

// recordWithdrawal records what a response says of the work that its server wants.
func (a *attempt) recordWithdrawal() {
	config := &a.call.proxy.config
	said := config.Protocol.Withdrawal(a.response)
	if said.Unreadable {
		config.Metrics.unreadableWithdrawals.Inc()
	}
	if !said.Leaving && said.Pause == 0 {
		return
	}
	if server := a.responder(said.ServerID); server != nil {
		said.Record(config.Now(), server.Stats.Withdrawal)
	}
}

// responder returns the server that responded, nil if it is not known: another server may
// have the address of the chosen one. id is the ID in the response, if it has one.
func (a *attempt) responder(id string) *routing.Server {
	if id == a.server.ID || id == "" && a.responseKind != ResponseWrongServer {
		return a.server
	}
	snapshot := a.call.proxy.config.Snapshot()
	if snapshot == nil {
		return nil
	}
	var found *routing.Server
	for _, server := range snapshot.ServersByID {
		if server.ID == a.server.ID || server.Address != a.server.Address || id != "" && id != server.ID {
			continue
		}
		if found != nil {
			// Entries of servers that are gone have the address too.
			return nil
		}
		found = server
	}
	return found
}

// withdrawnDetail is the detail of the refusal of a call whose servers are withdrawn.
const withdrawnDetail = "is leaving or asked for a pause"

// denyWithdrawn keeps an attempt from being sent to a server that withdrew after it was
// chosen.
func (a *attempt) denyWithdrawn() {
	a.call.proxy.config.Metrics.attemptsWithdrawn.Inc()
	a.withdrawn = true
	a.denyReason = "the server " + a.server.ID + " " + withdrawnDetail
	a.deny(errWithdrawn)
}

// neverSent reports whether the attempt was denied because its server withdrew, before any of
// its bytes were written. The next attempt of the call is not a retry then.
func (a *attempt) neverSent() bool {
	return a.withdrawn && a.result == retry.NeverWritten
}

// refuseWithdrawn refuses a call because all servers are withdrawn.
func (c *call) refuseWithdrawn() {
	c.proxy.config.Metrics.serversWithdrawn.Inc()
	c.refuse(http.StatusServiceUnavailable, "each server of "+c.serviceName+" "+withdrawnDetail)
}

// maxReturnWait bounds how long after its arrival a call waits for the end of a pause. After a
// longer one the caller returns itself, and may choose another gateway.
const maxReturnWait = time.Second

// awaitReturn waits until one of the withdrawn servers may be asked again. If there is none, or
// the call cannot wait for it, awaitReturn refuses the call and returns false.
func (c *call) awaitReturn(now int64) bool {
	wait, ok := c.returnWait(now)
	if !ok {
		c.releaseCrashGuard()
		c.refuseUnchosen()
		return false
	}
	return c.awaitServer(wait)
}

// returnWait returns how long the call waits until one of the servers, all of which are
// withdrawn, may be asked again. ok is false if there is another server, or if the call
// could not be served then before its deadline.
func (c *call) returnWait(now int64) (wait time.Duration, ok bool) {
	if c.candidateCount() == 0 || !c.view.AllWithdrawn(now) {
		return 0, false
	}
	wait, ok = c.view.Wait(now)
	if !ok || now+int64(wait)-c.arrived > int64(maxReturnWait) {
		return 0, false
	}
	end := now + int64(wait) + c.service.serviceTime.EstimateNanos()
	return wait, c.deadline == 0 || end < c.deadline
}

// withdrawalRetryAfter returns when the first of the servers, all of which are withdrawn,
// may be asked again.
func (c *call) withdrawalRetryAfter(now int64) time.Duration {
	wait, ok := c.view.Wait(now)
	if !ok {
		return maxLimitRetryAfter
	}
	return max(wait, shortRetryAfter)
}
