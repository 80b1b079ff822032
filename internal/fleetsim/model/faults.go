package model

import (
	"math"
	"math/rand/v2"
	"slices"

	"pumiceline/internal/standalone/policy"
)

// Cuts.

// Faults.

const (
	faultStart = iota
	faultEnd
	faultStep
)

// scheduleFaults draws whom each trouble strikes, and plans its steps.
func (r *simulation) scheduleFaults(g *rand.Rand) {
	strike := func(n int, part float64) []int32 {
		out := make([]int32, 0, n)
		for _, i := range g.Perm(n)[:min(n, max(1, int(math.Round(part*float64(n)))))] {
			out = append(out, int32(i))
		}
		return out
	}
	for i := range r.scenario.Faults {
		t := &r.scenario.Faults[i]
		n := int32(i)
		struck := []int32(nil)
		switch t.Kind {
		case "reconnect_storm", "proxy_kill", "proxy_roll":
			struck = strike(len(r.proxies), t.AffectedShare)
		case "zone_cut", "zone_lost", "discovery_zone", "shift":
			zone := int32(g.IntN(r.scenario.Zones))
			if t.From != "" {
				p, _ := ParseParty(t.From) // Check has read it
				zone = int32(p.N % r.scenario.Zones)
			}
			if struck = []int32{zone}; t.Kind == "zone_lost" {
				struck = struck[:0]
				for _, s := range r.servers {
					if int32(s.zone) == zone {
						struck = append(struck, s.index)
					}
				}
			}
		case "cut", "discovery", "retry_storm", "flood":
		default:
			struck = strike(len(r.servers), t.AffectedShare)
		}
		r.affected = append(r.affected, struck)
		r.schedule(Time(t.Start), event{kind: evFault, subject: n, code: faultStart})
		steps, every := 0, Time(0)
		switch t.Kind {
		case "deploy", "proxy_roll":
			batch := r.faultBatchSize(t)
			steps = (len(struck) + batch - 1) / batch
			every = Time(t.Duration) / Time(steps)
		case "neighbour", "reconnect_storm":
			if every = Time(t.Interval); every > 0 {
				steps = int(min(100_000, (Time(t.Duration)+every-1)/every))
			} else {
				steps = 1
			}
		}
		for k := range steps {
			r.schedule(Time(t.Start)+Time(k)*every, event{kind: evFault, subject: n, code: faultStep, number: int32(k)})
		}
		r.schedule(Time(t.Start)+max(1, Time(t.Duration)), event{kind: evFault, subject: n, code: faultEnd})
	}
}

// faultBatchSize is how many of the servers or proxies a step strikes.
func (r *simulation) faultBatchSize(t *Fault) int {
	n := r.scenario.Servers
	if t.Kind == "proxy_roll" {
		n = r.scenario.Proxies
	}
	return max(1, int(math.Round(t.Magnitude*float64(n))))
}

// A proxy that is told to stop gets new clients for stopAcceptDelay, and has ended after stopExitDelay.
const (
	stopAcceptDelay = 600_000
	stopExitDelay   = 3_700_000
)

// fault carries out one step of a trouble.
func (r *simulation) applyFault(e *event) {
	t := &r.scenario.Faults[e.subject]
	struck := r.affected[e.subject]
	begins := e.code == faultStart
	sign := 1
	if !begins {
		sign = -1
	}
	each := func(do func(s *server)) {
		if e.code == faultStep && t.Kind != "neighbour" {
			return
		}
		for _, n := range struck {
			s := r.servers[n]
			r.advanceServer(s)
			do(s)
			r.processServer(s)
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
		each(func(s *server) { s.hangs += sign })
	case "fast_errors":
		each(func(s *server) { s.errorRate = set(t.Magnitude) })
	case "gray":
		each(func(s *server) { s.slowdown = set(t.Magnitude) })
	case "report_late":
		each(func(s *server) { s.reportDelay = Time(set(t.Magnitude) * 1e6) })
	case "neighbour":
		each(func(s *server) {
			s.stolenShare = 0
			if e.code == faultStep && e.number%2 == 0 {
				s.stolenShare = t.Magnitude
			}
		})
	case "deploy":
		if e.code == faultStep {
			batch := r.faultBatchSize(t)
			for _, n := range struck[int(e.number)*batch : min(len(struck), int(e.number+1)*batch)] {
				r.drainServer(r.servers[n], Time(t.Interval), t.NewIDs)
			}
		}
	case "restart", "zone_lost":
		if begins {
			for _, n := range struck {
				s := r.servers[n]
				r.stopServer(s, false)
				r.schedule(r.now+Time(t.Interval), event{kind: evServerUp, subject: n})
			}
		}
	case "zone_cut":
		r.isolatedZones[struck[0]] += sign
		r.expireSilentWatches(begins)
	case "cut":
		if begins {
			a, _ := ParseParty(t.From)
			b, _ := ParseParty(t.To)
			r.partitions = append(r.partitions, partition{e.subject, a, b})
		} else {
			r.partitions = slices.DeleteFunc(r.partitions, func(c partition) bool { return c.fault == e.subject })
		}
		r.expireSilentWatches(begins)
	case "discovery":
		r.discovery.outages += sign
		for i := range r.proxies {
			if begins {
				r.endWatch(int32(i), r.proxies[i].incarnation, false)
			}
		}
	case "discovery_zone":
		for i := range r.proxies {
			if p := &r.proxies[i]; int32(p.zone) == struck[0] {
				p.cutFromDiscovery = begins
			}
		}
		r.expireSilentWatches(begins)
	case "reconnect_storm":
		if e.code == faultStep {
			for _, n := range struck {
				r.breakConnections(n)
			}
		}
	case "proxy_kill":
		if begins {
			for _, n := range struck {
				r.killProxy(n)
				r.schedule(r.now+Time(t.Interval), event{kind: evProxyUp, subject: n})
			}
		}
	case "proxy_roll":
		if e.code == faultStep {
			batch := r.faultBatchSize(t)
			for _, n := range struck[int(e.number)*batch : min(len(struck), int(e.number+1)*batch)] {
				r.proxies[n].stopsAt = r.now + stopAcceptDelay
				r.schedule(r.now+stopExitDelay, event{kind: evProxyDown, subject: n, number: r.proxies[n].incarnation})
				r.schedule(r.now+stopExitDelay+Time(t.Interval), event{kind: evProxyUp, subject: n})
			}
		}
	case "shift":
		if r.zoneWeights[struck[0]] /= max(0.001, t.Magnitude); begins {
			r.zoneWeights[struck[0]] *= max(0.001, t.Magnitude) * max(0.001, t.Magnitude)
		}
		r.zoneShares = cumulativeShares(len(r.zoneWeights), func(i int) float64 { return r.zoneWeights[i] })
	case "retry_storm":
		r.retryAtOnce = begins
		if r.maxRetries = r.scenario.Clients.Retries; begins {
			r.maxRetries = int(float64(r.maxRetries) * max(1, t.Magnitude))
		}
	case "flood":
		if r.floodFactor = 1; begins {
			r.floodFactor = max(1, t.Magnitude)
		}
	}
}

// expireSilentWatches plans the end of watches that a cut has made silent: proxies hear no heartbeats.
func (r *simulation) expireSilentWatches(begins bool) {
	if !begins {
		return
	}
	for i := range r.proxies {
		if p := &r.proxies[i]; p.up && p.watching && r.isDiscoveryPartitioned(int32(i)) {
			r.schedule(r.now+watchHeartbeatTimeout, event{kind: evWatchBreaks, subject: int32(i), number: p.incarnation})
		}
	}
}

// breakConnections resets all of a proxy's connections, with what is out on them.
func (r *simulation) breakConnections(n int32) {
	p := &r.proxies[n]
	if !p.up {
		return
	}
	for s, k := range p.connections {
		if srv := r.servers[s]; k.epoch == srv.epoch {
			srv.connections -= len(k.idle)
		}
		k.idle = k.idle[:0]
	}
	for m := range r.proxyRequests {
		j := &r.proxyRequests[m]
		if j.id == 0 || j.proxy != n {
			continue
		}
		for i := range j.attempts[:j.attemptCount] {
			if t := &j.attempts[i]; t.inFlight && t.serverAttempt >= 0 {
				r.abandonServerAttempt(t)
				r.schedule(r.nextTick(r.now+1), event{kind: evAttemptFailed, subject: int32(m), code: uint8(i), number: int32(policy.ConnectionReset), id: j.id})
			}
		}
	}
}
