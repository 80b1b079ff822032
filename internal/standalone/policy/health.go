package policy

import (
	"math"

	"pumiceline/internal/standalone/affinity"
	"pumiceline/internal/standalone/concurrency"
	"pumiceline/internal/standalone/latencybaseline"
)

// discovery is the state of this balancer's subscription, where the list must be asked for.
type discovery struct {
	asked      bool // a call is out
	askAt      Time // when to call next; timers that fire before are left over from earlier plans
	subscribed bool
	silent     bool // what has been missed counts as told soon
	failures   int
}

// askSoon plans a call to discovery at random within a window that grows with failures and with the bank, as
// discovery's capacity does not: after a start or a failure common to all, calls must not come together. One
// plan stands at a time: a failed call must not leave two behind, or an outage would breed calls.
func (b *Balancer) askSoon() {
	if b.set.SubscribeDiscovery { // after a failed call the rule allows four times as long, which leaves room
		within := float64(b.set.Rules.SubscribeWithin) / 8 * max(1, min(2, float64(b.set.GroupSize)/100))
		within = min(within*math.Exp2(float64(max(1, b.disc.failures))), 2*float64(b.set.Rules.SubscribeWithin))
		if b.disc.silent {
			within = min(within, silentWithin)
		}
		b.askAfter(Time(b.rng.Float64() * within))
	}
}

const silentWithin = 2_000_000.0

func (b *Balancer) askAfter(wait Time) {
	b.disc.askAt = b.now + max(1, wait)
	b.timer(tagAsk, wait)
}

func (b *Balancer) ask() {
	if b.disc.subscribed || b.now < b.disc.askAt || !b.set.SubscribeDiscovery {
		return
	}
	b.disc.asked = true
	b.do(Action{Kind: SubscribeDiscovery})
	b.askAfter(b.jitter(b.set.Rules.SubscribeWithin * 2 / 3)) // in case no answer comes at all
}

// listed takes news of the list.
func (b *Balancer) listed(ev *Event) {
	if ev.Kind == DiscoveryFailed || ev.Kind == DiscoverySilent {
		if !b.disc.asked && !b.disc.subscribed {
			return // news of an earlier call: the present plan stands, or failures could put it off for ever
		}
		b.disc.subscribed, b.disc.asked, b.disc.silent = false, false, ev.Kind == DiscoverySilent
		b.disc.failures++
		b.askSoon()
		return
	}
	for _, s := range b.order {
		s.listed = s.listed && ev.Kind == MembershipDelta
	}
	for i := range ev.Members {
		b.member(&ev.Members[i])
	}
	var members []affinity.Member
	for _, s := range b.order {
		b.place(s) // out of the schedule at once when no longer listed
		if s.listed && s.mode == ModeReady {
			members = append(members, affinity.Member{ID: s.id, Weight: s.size})
		}
	}
	b.keys.SetMembers(members)
	if ev.Kind != MembershipCached && b.disc.asked {
		b.disc.asked, b.disc.subscribed, b.disc.failures = false, true, 0
	}
	b.means()
}

// member takes one entry of the list. A drain or a removal takes the server out of the schedule at once.
func (b *Balancer) member(m *Member) {
	s := b.servers[m.Server]
	if m.Mode == ModeGone {
		if s != nil {
			s.listed, s.mode = false, ModeGone
			b.place(s)
		}
		return
	}
	fresh := s == nil
	if fresh {
		s = &server{id: m.Server, pace: 1, readySince: -b.set.Rules.WarmupTime, weight: 1, toil: 1}
		s.Tie, s.Of = s.id, s
		b.servers[m.Server] = s
		b.order = append(b.order, s)
	}
	s.zone, s.cell, s.mode, s.size, s.listed = m.Zone, m.Cell, m.Mode, m.size(), true
	s.kind = b.kindOf(m.InstanceType)
	if m.StartedAt != s.upSince || fresh {
		s.upSince = m.StartedAt
		if !fresh { // another process: what the old one reported is void
			s.qps, s.util, s.eps, s.mass, s.nonEmptySince = 0, 0, 0, 0, 0
		}
		if m.StartedAt > 0 && b.now-m.StartedAt < b.set.Rules.WarmupTime && m.StartedAt > s.readySince {
			b.chill(s, m.StartedAt)
		}
	}
	if fresh {
		s.weight = max(1e-6, b.like(s)*b.scale(s)*b.local(s))
		s.Due = b.turn + b.rng.Float64()/s.weight
	}
	b.place(s)
}

func (b *Balancer) kindOf(kind uint16) int {
	for i := range b.kinds {
		if b.kinds[i].kind == kind {
			return i
		}
	}
	b.kinds = append(b.kinds, kindMean{kind: kind})
	return len(b.kinds) - 1
}

// tidy forgets servers that are gone and have nothing out.
func (b *Balancer) tidy() {
	kept := b.order[:0]
	for _, s := range b.order {
		if s.listed || s.inflight+s.slow > 0 {
			kept = append(kept, s)
			continue
		}
		if s.suspended { // it has no turn, as it is not listed, and is not stalled, as nothing is out
			b.benched--
		}
		delete(b.servers, s.id)
	}
	clear(b.order[len(kept):])
	b.order = kept
}

// schedulable says whether s may have turns at all.
func (b *Balancer) schedulable(s *server) bool {
	if !s.listed || s.mode != ModeReady || s.suspended || s.stalled || s.trial && s.inflight > 0 {
		return false
	}
	return !s.cold || s.tokens >= 1
}

// observe draws what an outcome tells about its server.
func (b *Balancer) observe(s *server, t *attempt, ev *Event) {
	s.inflight--
	b.inflight--
	s.waiting = b.now
	if s.stalled {
		s.stalled = false
		b.benched--
		b.inflight += s.inflight + 1
	}
	if b.set.ReportDelivery == ReportsInResponses {
		b.report(s, ev.Report)
	}
	switch ev.Outcome {
	case ConnectFailed:
		b.lost[s.zone]++
		s.conns = min(s.conns, s.inflight)
		// One that answers on other connections has not gone: taken for a new start, it would be cold.
		if s.missed++; s.missed >= missedMost || s.trial {
			s.lost = true
			b.suspend(s, 500_000, 8_000_000)
		}
	case Rejected:
		// It drains unannounced or its queue is full: more requests only come back. Not when half of all
		// are out already: then the cause is shared, and fewer servers would make it worse.
		b.revive(s)
		if 2*b.benched < len(b.order) {
			b.suspend(s, 250_000, 2_000_000)
		}
	case TimedOut:
		// Attempts that are given up make room at a silent server: it would draw turns as an idle one.
		if b.compare(s, t.cost, float64(ev.Elapsed), true) >= 2 {
			s.silent++
		}
		if (s.trial && s.silent > 0 || s.silent >= silentMost) && 2*b.benched < len(b.order) {
			b.suspend(s, 500_000, 4_000_000)
		}
	case OK:
		b.lost[s.zone] = 0
		b.compare(s, t.cost, float64(ev.Elapsed), false)
		b.revive(s)
		s.backoff = 0
		s.faults -= s.faults * faultGain
	case ErrorResponse:
		b.revive(s)
		s.faults += (1 - s.faults) * faultGain
	case ConnectionReset:
		s.faults += (1 - s.faults) * faultGain
	}
	b.place(s)
}

// suspend takes s out of the schedule; a timed trial brings it back.
func (b *Balancer) suspend(s *server, first, most Time) {
	if s.suspended {
		return
	}
	b.benched++
	s.backoff = min(max(first, 2*s.backoff), most)
	s.suspended, s.trial = true, false
	s.retryAt = b.now + b.jitter(s.backoff)
}

// revive ends a trial: the server answered. After a failure to connect its ready_since is set, as A100 does
// when a connection becomes ready.
func (b *Balancer) revive(s *server) {
	if s.trial && s.lost && b.now-s.answered >= startLeast {
		b.chill(s, b.now)
	}
	s.trial, s.lost = false, s.lost && s.suspended
	s.silent, s.missed, s.answered = 0, 0, b.now
}

// compare takes a server's time for an attempt against the usual one: the median of all, which servers that
// are slow by themselves do not move, and which grows when all are slow. Of an attempt that was given up only
// the least time that it would have taken is known: from an impatient client's nothing follows.
// It returns how many times the usual it was.
func (b *Balancer) compare(s *server, cost, elapsed float64, givenUp bool) float64 {
	if b.usual == 0 {
		b.usual = max(1, elapsed)
	}
	ratio := elapsed / (b.usual * (1 + cost) / 2)
	if givenUp && ratio < 1 {
		return ratio
	}
	if !givenUp || ratio > s.pace {
		s.pace += (min(ratio, 10) - s.pace) / 2
	}
	b.usual = latencybaseline.StepQuantile(b.usual, b.usual*ratio, 0.5, 0.06)
	return ratio
}

// startLeast is how long a server must have answered nothing to be taken for one that has started anew. No
// process is back sooner, and a network that resets connections would make a whole fleet cold.
const startLeast = 1_000_000

// missedMost is how many attempts in a row must fail to connect before a server is taken to be gone.
const missedMost = 2

// silentMost is how many attempts at a server may be given up in a row before it gets turns for trial only.
const silentMost = 4

// slowFrom is how many times the usual a server's recent answers must have taken to count as slow. Kinds of
// servers differ by less, and single requests by more only now and then.
const slowFrom = 4

// evidence scales the weight of a server that this balancer finds slow or faulty: its reports come late,
// and only with sound answers. Each fault costs its caller all its work, as in the weight.
func (s *server) evidence() float64 {
	scale := 1 / (1 + errorUtilizationPenalty*s.faults*s.faults)
	if s.pace < slowFrom {
		return scale
	}
	return scale / s.pace
}

// faultGain is how much the latest outcome counts among a server's faults.
const faultGain = 0.15

// idleMost is how long an unused connection is kept. Servers take only so many, and those of a balancer that
// has no use for them keep others out.
const idleMost = 2_000_000

// examine looks at a server on the period. A trial may be due. And a server that has been silent for much
// longer than answers usually take gets no further turn until an attempt ends: hung servers keep their
// connections, so nothing else gives them away.
func (b *Balancer) examine(s *server) {
	if !s.stalled && s.inflight > 0 && b.usual > 0 && 2*b.benched < len(b.order) &&
		float64(b.now-s.waiting) > slowFrom*b.usual {
		s.stalled = true
		b.benched++
		b.inflight -= s.inflight // what hangs must not fill the window
	}
	if s.conns > s.inflight && b.now-s.lastSend > idleMost {
		s.conns = s.inflight
		b.do(Action{Kind: CloseIdleConns, Server: s.id})
	}
	if s.suspended && b.now >= s.retryAt {
		s.suspended, s.trial = false, true
		b.benched--
	}
}

// Admission. When more work comes in than can be done in time, queues at the servers grow until hardly an
// answer is in time, whoever is picked. The window bounds this balancer's attempts out; the rest waits here,
// where the most valuable goes first and a refusal is still harmless.
const (
	crowdedFrom = 0.5  // of the aim: no answer within this speaks of a queue
	crowdedCalm = 2    // times what answers take where nothing queues: nor does one within this
	signsFew    = 0.1  // share of attempts beyond both that comes without a queue
	signGain    = 0.05 // how much the latest counts in it
)

// crowded says whether an answer to r that took this long speaks of a queue. Where work, or waits on others,
// fill the aim, half of it is passed with nothing queued. What comes after the aim speaks of one in any case.
func (b *Balancer) crowded(r *request, elapsed Time) bool {
	aim, line := float64(r.class.LatencyTarget), 0.75 // between the two, until enough is known
	if took, known := b.calm[r.number].Baseline(); known {
		line = max(crowdedFrom, min(crowdedCalm*took/aim, 1))
	}
	return float64(elapsed) > line*aim
}

// pace takes an outcome as a sign of how long the servers' queues are.
func (b *Balancer) pace(r *request, t *attempt, ev *Event) {
	if t.server.pace >= slowFrom || t.server.cold {
		return // slower than the rest, or not warm yet: its own trouble
	}
	sign := 0.0
	switch ev.Outcome {
	case Rejected:
		sign = 1
	case OK, TimedOut:
		if ev.Outcome == OK {
			b.calm[r.number].Observe(b.now, 2*float64(ev.Elapsed)/(1+t.cost))
		}
		if b.crowded(r, ev.Elapsed) {
			sign = 1
		} else if ev.Outcome == TimedOut {
			return // the client had little time; that says nothing of a queue
		}
	default:
		return
	}
	b.signs += (sign - b.signs) * signGain
	if sign > 0 {
		b.window = concurrency.Decrease(b.window)
	} else if float64(b.inflight)+1 > 0.8*b.window {
		b.window = concurrency.Increase(b.window, b.signs < signsFew)
	}
}

// room says whether the window has room for another attempt.
func (b *Balancer) room() bool {
	return concurrency.Admits(b.window, b.inflight, float64(b.now-b.lastEnd), b.usual)
}
