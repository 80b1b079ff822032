package model

import (
	"slices"

	"pumiceline/internal/standalone/policy"
)

func sortFloats(x []float64) { slices.Sort(x) }

// silentWatch is how long a watch may say nothing before its proxy holds it for broken.
const silentWatch = 5_000_000

// registry is discovery. It holds each list once: proxies are handed slices of one log of changes, so a thousand
// of them with ten thousand servers cost no more memory than one.
type registry struct {
	first  []policy.Member // the whole list at the start
	log    []policy.Member // all changes since; a version is a place in it
	known  []policy.Member // the present state, by server
	epochs []int32         // of the latest process heard of
	whole  []policy.Member // the whole list at version wholeAt
	at     int
	busy   Time // till when calls wait in turn
	downs  int
}

func (g *registry) begin(r *run) {
	for _, s := range r.servers {
		g.known = append(g.known, policy.Member{Server: s.id, Zone: s.zone, Cell: s.cell, InstanceType: uint16(s.kindNo),
			Mode: policy.ModeReady, Size: float64(s.kind.Cores)})
		g.epochs = append(g.epochs, 0)
	}
	g.first = slices.Clone(g.known)
	g.whole = g.first
}

// list is the whole list as it is now.
func (g *registry) list() []policy.Member {
	if g.at != len(g.log) {
		g.whole, g.at = nil, len(g.log)
		for i := range g.known {
			if g.known[i].Mode != policy.ModeGone {
				g.whole = append(g.whole, g.known[i])
			}
		}
	}
	return g.whole
}

// cached is the whole list as it was at a version.
func (g *registry) cached(version int) []policy.Member {
	if version == 0 {
		return g.first
	}
	if version == g.at {
		return g.whole
	}
	place := map[uint32]int{}
	list := slices.Clone(g.first)
	for i := range list {
		place[list[i].Server] = i
	}
	for _, m := range g.log[:version] {
		if i, ok := place[m.Server]; ok {
			list[i] = m
		} else {
			place[m.Server] = len(list)
			list = append(list, m)
		}
	}
	return slices.DeleteFunc(list, func(m policy.Member) bool { return m.Mode == policy.ModeGone })
}

// notice lets discovery learn of a server's new state after a while.
func (r *run) notice(s *server, mode policy.Mode, lag Time) {
	r.at(r.now+lag, event{kind: evListed, a: s.n, b: s.epoch, n: uint8(mode), id: uint64(s.started)})
}

func (r *run) listed(e *event) {
	g := &r.reg
	m := &g.known[e.a]
	if e.b < g.epochs[e.a] || e.b == g.epochs[e.a] && m.Mode == policy.Mode(e.n) ||
		e.b == g.epochs[e.a] && m.Mode == policy.ModeGone {
		return // late news of a process that has a successor, or no news
	}
	g.epochs[e.a] = e.b
	m.Mode, m.StartedAt = policy.Mode(e.n), Time(e.id)
	g.log = append(g.log, *m)
	r.see(Record{Kind: Listed, Members: g.log[len(g.log)-1:], Version: len(g.log)})
	for i := range r.proxies {
		if p := &r.proxies[i]; p.up && p.watching {
			r.informLater(int32(i))
		}
	}
}

func (r *run) informLater(n int32) {
	p := &r.proxies[n]
	if p.pending {
		return // what is under way will bring this as well
	}
	p.pending = true
	late := Time(r.net.Float64()*float64(r.w.Discovery.Spread)) + r.delay(p.zone, 0)
	r.at(r.tick(r.now+late), event{kind: evInform, a: n, b: p.inc})
}

// inform brings a watching proxy what has changed.
func (r *run) inform(n, inc int32) {
	p := &r.proxies[n]
	if p.inc != inc || !p.up {
		return
	}
	p.pending = false
	if !p.watching || p.version == len(r.reg.log) {
		return
	}
	if r.partedDiscovery(n) {
		p.pending = true
		r.at(r.tick(r.now+250_000), event{kind: evInform, a: n, b: inc})
		return
	}
	r.tell(n)
}

// tell hands a proxy the changes since its version, or the whole list where they are more than that.
func (r *run) tell(n int32) {
	p, g := &r.proxies[n], &r.reg
	members := g.log[p.version:len(g.log):len(g.log)]
	kind := policy.MembershipDelta
	if len(members) > len(g.known) {
		members, kind = g.list(), policy.MembershipFull
	}
	p.version = len(g.log)
	r.see(Record{Kind: Informed, Proxy: n, Members: members, Version: p.version, Flag: kind == policy.MembershipFull})
	r.ev = policy.Event{Kind: kind, Members: members}
	r.give(n)
}

// subscribe is a proxy's call to discovery, which answers calls in turn and fails those that would wait too long.
func (r *run) subscribe(n int32) {
	p, g, d := &r.proxies[n], &r.reg, &r.w.Discovery
	r.see(Record{Kind: Asked, Proxy: n})
	e := event{kind: evCalled, a: n, b: p.inc}
	g.busy = max(g.busy, r.now)
	switch wait := g.busy - r.now; {
	case r.partedDiscovery(n):
		e.n = 1
		r.at(r.tick(r.now+Time(d.Within)), e)
	case g.downs > 0:
		e.n = 1
		r.at(r.tick(r.now+2*r.delay(p.zone, 0)), e)
	case wait > Time(d.Within):
		e.n = 1
		r.at(r.tick(r.now+Time(d.Within)), e)
	default:
		g.busy += Time(1e6 / d.Calls)
		r.at(r.tick(g.busy+r.delay(p.zone, 0)), e)
	}
}

func (r *run) called(e *event) {
	p := &r.proxies[e.a]
	if p.inc != e.b || !p.up {
		return
	}
	if e.n == 1 || r.reg.downs > 0 || r.partedDiscovery(e.a) {
		r.unwatch(e.a, e.b, true)
		return
	}
	p.watching = true
	r.see(Record{Kind: Asked, Proxy: e.a, Flag: true})
	if every := r.w.Discovery.BreakIn; every > 0 {
		r.at(r.now+1+Time(r.net.ExpFloat64()*float64(every)), event{kind: evBreak, a: e.a, b: e.b})
	}
	r.tell(e.a)
}

// unwatch tells a proxy that its watch broke or its call failed.
func (r *run) unwatch(n, inc int32, call bool) {
	p := &r.proxies[n]
	if p.inc != inc || !p.up || !call && !p.watching {
		return
	}
	p.watching = false
	r.see(Record{Kind: Unwatched, Proxy: n, Flag: call})
	r.ev = policy.Event{Kind: policy.DiscoveryFailed}
	r.give(n)
}
