package checker

import (
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

// proxyState is a proxy's contact with discovery since its start, and what it has been notified of.
type proxyState struct {
	startedAt      Time
	goneSince      map[uint32]Time // when it was notified that a server drains or is gone
	notifiedStart  map[uint32]Time // a server's latest start that the proxy was notified of
	watching       bool
	hasWatched     bool // since its start
	lastContact    Time // with discovery: a call, or the end of a watch
	lastCallFailed bool
}

// observeDiscovery processes the updates of discovery's list, and the calls, watches and notifications of proxies.
func (c *Checker) observeDiscovery(rec *model.Record) {
	switch rec.Kind {
	case model.DiscoveryUpdated:
		c.observeListing(rec)
	case model.ProxyNotified:
		c.observeMembership(rec)
	case model.DiscoveryCalled:
		if rec.CallSucceeded() {
			c.observeWatchStarted(rec)
		} else {
			c.observeDiscoveryCall(rec)
		}
	case model.WatchLost:
		c.observeWatchLost(rec)
	}
}

func (c *Checker) observeListing(rec *model.Record) {
	for i := range rec.Members {
		m := &rec.Members[i]
		if m.Mode == policy.ModeReady {
			delete(c.goneSince, m.Server)
			c.listedStart[m.Server], c.startListedAt[m.Server] = m.StartedAt, rec.At
		} else if _, known := c.goneSince[m.Server]; !known {
			c.goneSince[m.Server] = rec.At
		}
	}
}

func (c *Checker) observeProxyStarted(rec *model.Record) {
	c.proxies[rec.Proxy] = proxyState{goneSince: map[uint32]Time{}, notifiedStart: map[uint32]Time{}, lastContact: rec.At,
		startedAt: rec.At}
	c.proxyStarts++
	c.observeMembership(rec)
}

func (c *Checker) observeProxyStopped(rec *model.Record) {
	for id, r := range c.open {
		if r.proxy == rec.Proxy { // its clients may send them again, which is no violation
			delete(c.open, id)
			c.freeRequests = append(c.freeRequests, r)
		}
	}
}

// observeMembership applies the full list or the changes that a proxy is notified of.
func (c *Checker) observeMembership(rec *model.Record) {
	p := &c.proxies[rec.Proxy]
	for i := range rec.Members {
		m := &rec.Members[i]
		if m.Mode == policy.ModeReady {
			delete(p.goneSince, m.Server)
			if m.StartedAt > 0 {
				p.notifiedStart[m.Server] = m.StartedAt
			}
		} else if _, known := p.goneSince[m.Server]; !known {
			p.goneSince[m.Server] = rec.At
		}
	}
	if rec.IsFullList() {
		c.markMissingAsGone(p, rec)
	}
}

// markMissingAsGone marks servers as gone for a proxy if discovery lists them as draining or gone and the proxy's full
// list leaves them out.
func (c *Checker) markMissingAsGone(p *proxyState, rec *model.Record) {
	isListed := make(map[uint32]bool, len(rec.Members))
	for i := range rec.Members {
		isListed[rec.Members[i].Server] = true
	}
	for s := range c.goneSince {
		if _, known := p.goneSince[s]; !known && !isListed[s] {
			p.goneSince[s] = rec.At
		}
	}
}

func (c *Checker) observeDiscoveryCall(rec *model.Record) {
	c.proxies[rec.Proxy].lastContact = rec.At
	c.report.DiscoveryCalls++
	second := int(rec.At / microsPerSecond)
	for second >= len(c.discoveryCalls) {
		c.discoveryCalls = append(c.discoveryCalls, 0)
	}
	c.discoveryCalls[second]++
}

func (c *Checker) observeWatchStarted(rec *model.Record) {
	p := &c.proxies[rec.Proxy]
	p.lastContact, p.watching, p.lastCallFailed = rec.At, true, false
	if !p.hasWatched {
		p.hasWatched = true
		c.subscribeTimes = append(c.subscribeTimes, rec.At-p.startedAt)
	}
}

func (c *Checker) observeWatchLost(rec *model.Record) {
	p := &c.proxies[rec.Proxy]
	if p.watching {
		p.lastContact = rec.At // the watch has notified the proxy of all changes until now
	}
	p.watching, p.lastCallFailed = false, rec.CallFailed()
	if rec.CallFailed() {
		c.report.DiscoveryCallsFailed++
	}
}

// failedCallFactor is the multiple of SubscribeWithin within which a proxy must call discovery again after a failed
// call.
const failedCallFactor = 4

// assumedListAge returns the age from which on a proxy counts as notified of a change that discovery has listed,
// because the proxy should have called discovery by then. It is 0 if the proxy has called in time or has a watch; then
// only actual notifications count.
func (c *Checker) assumedListAge(p *proxyState, now Time) Time {
	age := Time(c.scenario.Published.SubscribeWithin)
	if p.lastCallFailed {
		age *= failedCallFactor
	}
	if p.watching || now-p.lastContact <= age {
		return 0
	}
	return age
}
