package model

import (
	"math"
	"math/rand/v2"
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
		g.known = append(g.known, policy.Member{Server: s.id, Zone: s.zone, Cell: s.cell, Kind: uint16(s.kindNo),
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
	m.Mode, m.UpSince = policy.Mode(e.n), Time(e.id)
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
	kind := policy.ListDelta
	if len(members) > len(g.known) {
		members, kind = g.list(), policy.ListFull
	}
	p.version = len(g.log)
	r.see(Record{Kind: Informed, Proxy: n, Members: members, Version: p.version, Flag: kind == policy.ListFull})
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
	r.ev = policy.Event{Kind: policy.ListFailed}
	r.give(n)
}

// Cuts.

func (r *run) parted(n int32, s *server) bool {
	p := &r.proxies[n]
	if p.zone != s.zone && (r.zoneOff[p.zone] > 0 || r.zoneOff[s.zone] > 0) {
		return true
	}
	for i := range r.cuts {
		c := &r.cuts[i]
		if c.a.proxy(n, p.zone) && c.b.server(s) || c.b.proxy(n, p.zone) && c.a.server(s) {
			return true
		}
	}
	return false
}

func (r *run) partedProxies(n, m int32) bool {
	a, b := r.proxies[n].zone, r.proxies[m].zone
	if a != b && (r.zoneOff[a] > 0 || r.zoneOff[b] > 0) {
		return true
	}
	for i := range r.cuts {
		c := &r.cuts[i]
		if c.a.proxy(n, a) && c.b.proxy(m, b) || c.b.proxy(n, a) && c.a.proxy(m, b) {
			return true
		}
	}
	return false
}

func (r *run) partedDiscovery(n int32) bool {
	p := &r.proxies[n]
	if p.cut {
		return true
	}
	for i := range r.cuts {
		c := &r.cuts[i]
		if c.a.Kind == "discovery" && c.b.proxy(n, p.zone) || c.b.Kind == "discovery" && c.a.proxy(n, p.zone) {
			return true
		}
	}
	return false
}

func (p Party) proxy(n int32, zone uint8) bool {
	return p.Kind == "proxies" || p.Kind == "proxy" && p.N == int(n) || p.Kind == "zone" && p.N == int(zone)
}

func (p Party) server(s *server) bool {
	return p.Kind == "servers" || p.Kind == "server" && p.N == int(s.n) || p.Kind == "zone" && p.N == int(s.zone)
}

// Troubles.

const (
	troubleStart = iota
	troubleEnd
	troubleStep
)

// plan draws whom each trouble strikes, and plans its steps.
func (r *run) plan(g *rand.Rand) {
	strike := func(n int, part float64) []int32 {
		out := make([]int32, 0, n)
		for _, i := range g.Perm(n)[:min(n, max(1, int(math.Round(part*float64(n)))))] {
			out = append(out, int32(i))
		}
		return out
	}
	for i := range r.w.Troubles {
		t := &r.w.Troubles[i]
		n := int32(i)
		struck := []int32(nil)
		switch t.Kind {
		case "reconnect_storm", "proxy_kill", "proxy_roll":
			struck = strike(len(r.proxies), t.Part)
		case "zone_cut", "zone_lost", "discovery_zone", "shift":
			zone := int32(g.IntN(r.w.Zones))
			if t.From != "" {
				p, _ := ParseParty(t.From) // Check has read it
				zone = int32(p.N % r.w.Zones)
			}
			if struck = []int32{zone}; t.Kind == "zone_lost" {
				struck = struck[:0]
				for _, s := range r.servers {
					if int32(s.zone) == zone {
						struck = append(struck, s.n)
					}
				}
			}
		case "cut", "discovery", "retry_storm", "flood":
		default:
			struck = strike(len(r.servers), t.Part)
		}
		r.struck = append(r.struck, struck)
		r.at(Time(t.At), event{kind: evTrouble, a: n, n: troubleStart})
		steps, every := 0, Time(0)
		switch t.Kind {
		case "deploy", "proxy_roll":
			batch := r.batch(t)
			steps = (len(struck) + batch - 1) / batch
			every = Time(t.For) / Time(steps)
		case "neighbour", "reconnect_storm":
			if every = Time(t.Every); every > 0 {
				steps = int(min(100_000, (Time(t.For)+every-1)/every))
			} else {
				steps = 1
			}
		}
		for k := range steps {
			r.at(Time(t.At)+Time(k)*every, event{kind: evTrouble, a: n, n: troubleStep, b: int32(k)})
		}
		r.at(Time(t.At)+max(1, Time(t.For)), event{kind: evTrouble, a: n, n: troubleEnd})
	}
}

// batch is how many of the servers or proxies a step strikes.
func (r *run) batch(t *Trouble) int {
	n := r.w.Servers
	if t.Kind == "proxy_roll" {
		n = r.w.Proxies
	}
	return max(1, int(math.Round(t.Size*float64(n))))
}

// A proxy that is told to stop gets new clients for stopTakes, and has ended after stopEnds.
const (
	stopTakes = 600_000
	stopEnds  = 3_700_000
)

// trouble carries out one step of a trouble.
func (r *run) trouble(e *event) {
	t := &r.w.Troubles[e.a]
	struck := r.struck[e.a]
	begins := e.n == troubleStart
	sign := 1
	if !begins {
		sign = -1
	}
	each := func(do func(s *server)) {
		if e.n == troubleStep && t.Kind != "neighbour" {
			return
		}
		for _, n := range struck {
			s := r.servers[n]
			r.advance(s)
			do(s)
			r.work(s)
		}
	}
	set := func(x float64) float64 {
		if begins {
			return x
		}
		return 0
	}
	switch t.Kind {
	case "hang":
		each(func(s *server) { s.hung += sign })
	case "fast_errors":
		each(func(s *server) { s.failing = set(t.Size) })
	case "gray":
		each(func(s *server) { s.slowed = set(t.Size) })
	case "report_late":
		each(func(s *server) { s.late = Time(set(t.Size) * 1e6) })
	case "neighbour":
		each(func(s *server) {
			s.stolen = 0
			if e.n == troubleStep && e.b%2 == 0 {
				s.stolen = t.Size
			}
		})
	case "deploy":
		if e.n == troubleStep {
			batch := r.batch(t)
			for _, n := range struck[int(e.b)*batch : min(len(struck), int(e.b+1)*batch)] {
				r.drain(r.servers[n], Time(t.Every), t.Fresh)
			}
		}
	case "restart", "zone_lost":
		if begins {
			for _, n := range struck {
				s := r.servers[n]
				r.serverDown(s, false)
				r.at(r.now+Time(t.Every), event{kind: evServerUp, a: n})
			}
		}
	case "zone_cut":
		r.zoneOff[struck[0]] += sign
		r.silence(begins)
	case "cut":
		if begins {
			a, _ := ParseParty(t.From)
			b, _ := ParseParty(t.To)
			r.cuts = append(r.cuts, cut{e.a, a, b})
		} else {
			r.cuts = slices.DeleteFunc(r.cuts, func(c cut) bool { return c.trouble == e.a })
		}
		r.silence(begins)
	case "discovery":
		r.reg.downs += sign
		for i := range r.proxies {
			if begins {
				r.unwatch(int32(i), r.proxies[i].inc, false)
			}
		}
	case "discovery_zone":
		for i := range r.proxies {
			if p := &r.proxies[i]; int32(p.zone) == struck[0] {
				p.cut = begins
			}
		}
		r.silence(begins)
	case "reconnect_storm":
		if e.n == troubleStep {
			for _, n := range struck {
				r.breakConnections(n)
			}
		}
	case "proxy_kill":
		if begins {
			for _, n := range struck {
				r.killProxy(n)
				r.at(r.now+Time(t.Every), event{kind: evProxyUp, a: n})
			}
		}
	case "proxy_roll":
		if e.n == troubleStep {
			batch := r.batch(t)
			for _, n := range struck[int(e.b)*batch : min(len(struck), int(e.b+1)*batch)] {
				r.proxies[n].stopsAt = r.now + stopTakes
				r.at(r.now+stopEnds, event{kind: evProxyDown, a: n, b: r.proxies[n].inc})
				r.at(r.now+stopEnds+Time(t.Every), event{kind: evProxyUp, a: n})
			}
		}
	case "shift":
		if r.zoneW[struck[0]] /= max(0.001, t.Size); begins {
			r.zoneW[struck[0]] *= max(0.001, t.Size) * max(0.001, t.Size)
		}
		r.zoneAt = cumulate(len(r.zoneW), func(i int) float64 { return r.zoneW[i] })
	case "retry_storm":
		r.rapid = begins
		if r.retries = r.w.Clients.Retries; begins {
			r.retries = int(float64(r.retries) * max(1, t.Size))
		}
	case "flood":
		if r.flood = 1; begins {
			r.flood = max(1, t.Size)
		}
	}
}

// silence plans the end of watches that a cut has made silent: proxies hear no heartbeats.
func (r *run) silence(begins bool) {
	if !begins {
		return
	}
	for i := range r.proxies {
		if p := &r.proxies[i]; p.up && p.watching && r.partedDiscovery(int32(i)) {
			r.at(r.now+silentWatch, event{kind: evBreak, a: int32(i), b: p.inc})
		}
	}
}

// breakConnections resets all of a proxy's connections, with what is out on them.
func (r *run) breakConnections(n int32) {
	p := &r.proxies[n]
	if !p.up {
		return
	}
	for s, k := range p.conns {
		if srv := r.servers[s]; k.epoch == srv.epoch {
			srv.conns -= len(k.idle)
		}
		k.idle = k.idle[:0]
	}
	for m := range r.jobs {
		j := &r.jobs[m]
		if j.id == 0 || j.proxy != n {
			continue
		}
		for i := range j.tries[:j.n] {
			if t := &j.tries[i]; t.out && t.task >= 0 {
				r.drop(t)
				r.at(r.tick(r.now+1), event{kind: evFailed, a: int32(m), n: uint8(i), b: int32(policy.Reset), id: j.id})
			}
		}
	}
}

// Truth is what no real decider can see: the true state of the servers. It is the upper bound's.
type Truth struct{ r *run }

// Servers is how many servers there have been.
func (t *Truth) Servers() int { return len(t.r.servers) }

// ID and Zone are of the server at a place from 0.
func (t *Truth) ID(n int) uint32  { return t.r.servers[n].id }
func (t *Truth) Zone(n int) uint8 { return t.r.servers[n].zone }

// Place is where the server of an id stands; -1: nowhere.
func (t *Truth) Place(id uint32) int {
	if s := t.r.serverOf(id); s != nil {
		return int(s.n)
	}
	return -1
}

// Expected is how long the server would take for the given work, in microseconds, if nothing else came, and how many
// requests it would then hold for each core, with those on their way. Infinite where the work would not be done.
func (t *Truth) Expected(n int, work Time) (took, held float64) {
	s, r := t.r.servers[n], t.r
	if s.state != up || s.hung > 0 || s.failing > 0.2 || len(s.slots) >= s.kind.Slots && len(s.queue)-s.head >= s.kind.Room {
		return math.Inf(1), math.Inf(1)
	}
	holds := float64(len(s.slots)+len(s.queue)-s.head) + math.Max(0, s.coming/r.w.meanWork()) + 1
	rate := s.speed * r.warmth(s) * (1 - s.stolen) * (1 - s.slowed)
	if over := holds - float64(s.kind.Knee); over > 0 {
		rate /= 1 + s.kind.Crowding*over
	}
	held = holds / float64(s.kind.Cores)
	return float64(work) / rate * math.Max(1, held), held
}

// Room is how much more work a cold server can be sent now before it falls over, in microseconds; infinite for others.
func (t *Truth) Room(n int) float64 {
	s, r := t.r.servers[n], t.r
	if !s.cold || r.w.Tip.Multiple == 0 {
		return math.Inf(1)
	}
	return r.w.Tip.Multiple*s.full()*r.warmth(s)*float64(r.w.Tip.Over) -
		s.pushed.add(r.now, Time(r.w.Tip.Over), 0) - s.coming
}
