package model

import (
	"slices"

	"pumiceline/internal/standalone/policy"
)

func sortFloats(x []float64) { slices.Sort(x) }

// watchHeartbeatTimeout is how long a watch may say nothing before its proxy holds it for broken.
const watchHeartbeatTimeout = 5_000_000

// discoveryService is discovery. It holds each list once: proxies are handed slices of one log of changes, so a thousand
// of them with ten thousand servers cost no more memory than one.
type discoveryService struct {
	initial          []policy.Member // the whole list at the start
	changes          []policy.Member // all changes since; a version is a place in it
	current          []policy.Member // the present state, by server
	epochs           []int32         // of the latest process heard of
	listCache        []policy.Member // the whole list at version wholeAt
	listCacheVersion int
	busyUntil        Time // till when calls wait in turn
	outages          int
}

func (g *discoveryService) init(r *simulation) {
	for _, s := range r.servers {
		g.current = append(g.current, policy.Member{Server: s.id, Zone: s.zone, Cell: s.cell, InstanceType: uint16(s.instanceTypeIndex),
			Mode: policy.ModeReady, Size: float64(s.instanceType.Cores)})
		g.epochs = append(g.epochs, 0)
	}
	g.initial = slices.Clone(g.current)
	g.listCache = g.initial
}

// list is the whole list as it is now.
func (g *discoveryService) list() []policy.Member {
	if g.listCacheVersion != len(g.changes) {
		g.listCache, g.listCacheVersion = nil, len(g.changes)
		for i := range g.current {
			if g.current[i].Mode != policy.ModeGone {
				g.listCache = append(g.listCache, g.current[i])
			}
		}
	}
	return g.listCache
}

// listAt is the whole list as it was at a version.
func (g *discoveryService) listAt(version int) []policy.Member {
	if version == 0 {
		return g.initial
	}
	if version == g.listCacheVersion {
		return g.listCache
	}
	place := map[uint32]int{}
	list := slices.Clone(g.initial)
	for i := range list {
		place[list[i].Server] = i
	}
	for _, m := range g.changes[:version] {
		if i, ok := place[m.Server]; ok {
			list[i] = m
		} else {
			place[m.Server] = len(list)
			list = append(list, m)
		}
	}
	return slices.DeleteFunc(list, func(m policy.Member) bool { return m.Mode == policy.ModeGone })
}

// scheduleDiscoveryUpdate lets discovery learn of a server's new state after a while.
func (r *simulation) scheduleDiscoveryUpdate(s *server, mode policy.Mode, lag Time) {
	r.schedule(r.now+lag, event{kind: evDiscoveryUpdate, subject: s.index, number: s.epoch, code: uint8(mode), id: uint64(s.started)})
}

func (r *simulation) updateDiscovery(e *event) {
	g := &r.discovery
	m := &g.current[e.subject]
	if e.number < g.epochs[e.subject] || e.number == g.epochs[e.subject] && m.Mode == policy.Mode(e.code) ||
		e.number == g.epochs[e.subject] && m.Mode == policy.ModeGone {
		return // late news of a process that has a successor, or no news
	}
	g.epochs[e.subject] = e.number
	m.Mode, m.StartedAt = policy.Mode(e.code), Time(e.id)
	g.changes = append(g.changes, *m)
	r.observe(Record{Kind: DiscoveryUpdated, Members: g.changes[len(g.changes)-1:], Version: len(g.changes)})
	for i := range r.proxies {
		if p := &r.proxies[i]; p.up && p.watching {
			r.scheduleNotification(int32(i))
		}
	}
}

func (r *simulation) scheduleNotification(n int32) {
	p := &r.proxies[n]
	if p.notificationPending {
		return // what is under way will bring this as well
	}
	p.notificationPending = true
	late := Time(r.networkRand.Float64()*float64(r.scenario.Discovery.NotifyJitter)) + r.networkDelay(p.zone, 0)
	r.schedule(r.nextTick(r.now+late), event{kind: evNotifyProxy, subject: n, number: p.incarnation})
}

// notifyProxy brings a watching proxy what has changed.
func (r *simulation) notifyProxy(n, inc int32) {
	p := &r.proxies[n]
	if p.incarnation != inc || !p.up {
		return
	}
	p.notificationPending = false
	if !p.watching || p.version == len(r.discovery.changes) {
		return
	}
	if r.isDiscoveryPartitioned(n) {
		p.notificationPending = true
		r.schedule(r.nextTick(r.now+250_000), event{kind: evNotifyProxy, subject: n, number: inc})
		return
	}
	r.sendMembership(n)
}

// sendMembership hands a proxy the changes since its version, or the whole list where they are more than that.
func (r *simulation) sendMembership(n int32) {
	p, g := &r.proxies[n], &r.discovery
	members := g.changes[p.version:len(g.changes):len(g.changes)]
	kind := policy.MembershipDelta
	if len(members) > len(g.current) {
		members, kind = g.list(), policy.MembershipFull
	}
	p.version = len(g.changes)
	r.observe(Record{Kind: ProxyNotified, Proxy: n, Members: members, Version: p.version, Flag: kind == policy.MembershipFull})
	r.policyEvent = policy.Event{Kind: kind, Members: members}
	r.deliver(n)
}

// subscribe is a proxy's call to discovery, which answers calls in turn and fails those that would wait too long.
func (r *simulation) subscribe(n int32) {
	p, g, d := &r.proxies[n], &r.discovery, &r.scenario.Discovery
	r.observe(Record{Kind: DiscoveryCalled, Proxy: n})
	e := event{kind: evSubscribeResult, subject: n, number: p.incarnation}
	g.busyUntil = max(g.busyUntil, r.now)
	switch wait := g.busyUntil - r.now; {
	case r.isDiscoveryPartitioned(n):
		e.code = 1
		r.schedule(r.nextTick(r.now+Time(d.CallTimeout)), e)
	case g.outages > 0:
		e.code = 1
		r.schedule(r.nextTick(r.now+2*r.networkDelay(p.zone, 0)), e)
	case wait > Time(d.CallTimeout):
		e.code = 1
		r.schedule(r.nextTick(r.now+Time(d.CallTimeout)), e)
	default:
		g.busyUntil += Time(1e6 / d.CallsPerSecond)
		r.schedule(r.nextTick(g.busyUntil+r.networkDelay(p.zone, 0)), e)
	}
}

func (r *simulation) receiveSubscribeResult(e *event) {
	p := &r.proxies[e.subject]
	if p.incarnation != e.number || !p.up {
		return
	}
	if e.code == 1 || r.discovery.outages > 0 || r.isDiscoveryPartitioned(e.subject) {
		r.endWatch(e.subject, e.number, true)
		return
	}
	p.watching = true
	r.observe(Record{Kind: DiscoveryCalled, Proxy: e.subject, Flag: true})
	if every := r.scenario.Discovery.WatchLifetime; every > 0 {
		r.schedule(r.now+1+Time(r.networkRand.ExpFloat64()*float64(every)), event{kind: evWatchBreaks, subject: e.subject, number: e.number})
	}
	r.sendMembership(e.subject)
}

// endWatch tells a proxy that its watch broke or its call failed.
func (r *simulation) endWatch(n, inc int32, call bool) {
	p := &r.proxies[n]
	if p.incarnation != inc || !p.up || !call && !p.watching {
		return
	}
	p.watching = false
	r.observe(Record{Kind: WatchLost, Proxy: n, Flag: call})
	r.policyEvent = policy.Event{Kind: policy.DiscoveryFailed}
	r.deliver(n)
}
