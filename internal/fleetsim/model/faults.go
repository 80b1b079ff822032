package model

import (
	"math"
	"math/rand/v2"
	"slices"

	"pumiceline/internal/standalone/policy"
)

// Cuts.

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
				r.at(r.tick(r.now+1), event{kind: evFailed, a: int32(m), n: uint8(i), b: int32(policy.ConnectionReset), id: j.id})
			}
		}
	}
}
