package proxy

import "net/http"

// stoppingDetail is the detail of the refusal of a call that outlives the gateway.
const stoppingDetail = "the gateway stops before the time limit of the call"

// outlivesGateway reports whether the gateway may end before the call does. Such a call is
// not sent to a server, because its connection could be closed while the server works on it.
func (c *call) outlivesGateway() bool {
	if c.proxy.config.EndsAt == nil {
		return false
	}
	endsAt := c.proxy.config.EndsAt()
	if endsAt == 0 {
		return false
	}
	// The deadline of an upgrade ends with the header.
	return c.deadline == 0 || c.deadline > endsAt || c.upgrade != ""
}

// refuseStopping refuses a call that outlives the gateway, before its body is read.
func (c *call) refuseStopping() {
	c.proxy.config.Metrics.gatewayStopping.Inc()
	c.refuse(http.StatusServiceUnavailable, stoppingDetail)
}

// denyStopping keeps an attempt of a call that outlives the gateway from being sent.
func (a *attempt) denyStopping() {
	a.call.proxy.config.Metrics.gatewayStopping.Inc()
	a.denyReason = stoppingDetail
	a.deny(errStopping)
}
