package checker

import "pumiceline/internal/fleetsim/model"

// clientRequest is one request of a client with all its attempts.
type clientRequest struct {
	startedAt     Time
	latencyTarget Time
	value         float64
	class         uint8
	tenant        uint16
	withinQuota   bool // of its tenant
	attempts      int
}

func (c *Checker) observeRequestStarted(rec *model.Record) {
	r := c.newClientRequest()
	*r = clientRequest{startedAt: rec.At, latencyTarget: c.classes[rec.Class].LatencyTarget, value: rec.Value,
		class: rec.Class, tenant: rec.Tenant, withinQuota: c.takeQuota(rec)}
	if !r.withinQuota {
		r.value *= c.scenario.Clients.OverQuotaValue
	}
	c.clientRequests[rec.Request] = r
	c.requests++
	c.requestedWork += float64(rec.Work)
}

func (c *Checker) newClientRequest() *clientRequest {
	if last := len(c.freeClientRequests) - 1; last >= 0 {
		r := c.freeClientRequests[last]
		c.freeClientRequests = c.freeClientRequests[:last]
		return r
	}
	return &clientRequest{}
}

// takeQuota takes a token from the tenant's bucket and says whether there was one. The bucket holds the quota of one
// second, and at least one token.
func (c *Checker) takeQuota(rec *model.Record) bool {
	if elapsed := float64(rec.At - c.quotaTokensAt); elapsed > 0 && len(c.quotaTokens) > 0 {
		c.quotaTokensAt = rec.At
		for i, rate := range c.quota {
			c.quotaTokens[i] = min(max(1, rate*microsPerSecond), c.quotaTokens[i]+rate*elapsed)
		}
	}
	if int(rec.Tenant) >= len(c.quotaTokens) {
		return true
	}
	if c.quotaTokens[rec.Tenant] < 1 {
		return false
	}
	c.quotaTokens[rec.Tenant]--
	return true
}

func (c *Checker) observeRequestEnded(rec *model.Record) {
	r := c.clientRequests[rec.Request]
	if r == nil {
		return
	}
	delete(c.clientRequests, rec.Request)
	c.freeClientRequests = append(c.freeClientRequests, r)
	isServed, elapsed := rec.Served(), rec.Duration
	served := 0.0
	switch {
	case isServed && elapsed <= r.latencyTarget:
		served = r.value
		c.report.InTime++
	case isServed:
		served = r.value * c.scenario.Classes[r.class].LateValueShare
		c.report.Late++
	default:
		c.report.Unserved++
	}
	if isServed {
		_ = c.latencies[r.class].RecordValue(max(1, elapsed)) // an error means a latency over maxLatency; it is left out
	}
	if r.startedAt < microsPerSecond {
		return // the first second does not count
	}
	if !isServed && elapsed > r.latencyTarget {
		c.lateFailure += r.value
	}
	c.addValue(r, served)
}

// addValue adds a request's value, and how much of it was served, to the sums of the report.
func (c *Checker) addValue(r *clientRequest, served float64) {
	second := int(r.startedAt / microsPerSecond)
	for second >= len(c.valueOffered) {
		c.valueOffered, c.valueServed = append(c.valueOffered, 0), append(c.valueServed, 0)
	}
	c.valueOffered[second] += r.value
	c.valueServed[second] += served
	c.valueByClass[r.class].add(r.value, served)
	if int(r.tenant) < len(c.valueByTenant) && r.withinQuota {
		c.valueByTenant[r.tenant].add(r.value, served)
	}
}
