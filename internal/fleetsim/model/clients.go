package model

import (
	"math"
	"slices"

	"pumiceline/internal/standalone/policy"
)

// call is what one client wants, over all its tries.
type call struct {
	no       uint64
	job      uint64 // the present try's id
	made     Time
	aim, end Time // absolute
	work     float64
	key      uint64
	habit    uint64 // random bits that fix how this client behaves
	effectAt Time   // -1: none yet
	hint     Time
	worth    float64
	refs     int32
	zone     uint8
	class    uint8
	tenant   uint16
	tries    uint8
	over     bool
	effect   struct {
		zone uint8
		cell uint16
	}
}

// arrival begins a client's first try and plans the next. Arrivals are drawn from a stream of their own, so every
// policy gets the same ones.
func (r *run) arrival() {
	w, g := r.w, r.arrive
	rate := r.rate
	if w.Wave > 0 {
		rate *= 1 + w.Swing*math.Sin(2*math.Pi*float64(r.now)/float64(w.Wave))
	}
	if w.Burst > 0 {
		if r.now >= r.burstEnd {
			r.bursting = !r.bursting
			mean := float64(w.BurstOn)
			if !r.bursting {
				mean *= 9
			}
			r.burstEnd = r.now + 1 + Time(g.ExpFloat64()*mean)
		}
		if r.bursting {
			rate *= w.Burst
		}
	}
	if len(r.tenantAt) > 0 {
		rate *= 1 + (r.flood-1)*r.tenantAt[0]
	}
	next := r.now + max(1, Time(g.ExpFloat64()/rate+0.5))
	if next < Time(w.Length) {
		r.at(next, event{kind: evArrival})
	}
	n := grab(&r.calls, &r.freeC)
	c := &r.calls[n]
	r.callNo++
	class := pickAt(r.classAt, g.Float64())
	k := &w.Classes[class]
	c.no, c.made, c.effectAt, c.class, c.tries, c.refs = r.callNo, r.now, -1, uint8(class), 0, 1
	c.aim, c.end = r.now+Time(k.Aim), r.now+Time(k.Deadline)
	c.zone = uint8(pickAt(r.zoneAt, g.Float64()))
	c.work = lognormal(g, float64(k.Work), k.CV)
	c.habit, c.key = g.Uint64(), g.Uint64()
	if len(r.keyAt) > 0 {
		at, _ := slices.BinarySearch(r.keyAt, float64(mix(c.key)>>11)/(1<<53))
		c.key = mix(r.seed + uint64(at) + 1)
	}
	c.hint = 0
	if guess := lognormal(g, c.work, max(0, w.Hint)); w.Hint >= 0 {
		c.hint = max(1, Time(guess))
	}
	c.worth = k.Worth * c.work
	if u := g.Float64(); len(r.tenantAt) > 0 {
		x := u * (1 + (r.flood-1)*r.tenantAt[0]) // a flood adds to the first tenant's part
		if x -= (r.flood - 1) * r.tenantAt[0]; x >= 0 {
			c.tenant = uint16(pickAt(r.tenantAt, x))
		}
	}
	r.openC++
	r.stats.Requests++
	r.see(Record{Kind: CallMade, Call: c.no, Class: c.class, Tenant: c.tenant, Work: Time(c.work), Worth: c.worth, Span: Time(k.Deadline),
		Zone: c.zone})
	r.tryCall(n)
}

// tryCall sends a client's next try to a proxy of its zone that the front layer holds for alive.
func (r *run) tryCall(n int32) {
	c := &r.calls[n]
	c.tries++
	c.job = 0
	zone := c.zone
	chosen, seen := int32(-1), 0.0
	for pass := 0; pass < 2 && chosen < 0; pass++ {
		for i := range r.proxies {
			p := &r.proxies[i]
			if pass == 0 && p.zone != zone || !p.up && r.now-p.diedAt > Time(r.w.Clients.Notice) || p.stopsAt > 0 && r.now >= p.stopsAt {
				continue
			}
			if seen++; c.draw(uint64(i)<<8+uint64(c.tries))*seen < 1 { // each of them is as likely
				chosen = int32(i)
			}
		}
	}
	travel := Time(float64(r.w.Net.Client) * (1 + r.w.Net.Jitter*c.draw(uint64(c.tries)+1<<40)))
	if chosen < 0 || !r.proxies[chosen].up || r.proxies[chosen].open >= r.w.Told.MostHeld && r.w.Told.MostHeld > 0 {
		r.at(r.now+2*travel, event{kind: evBack, a: n, n: uint8(policy.ConnectFailed), id: 0})
		return
	}
	k := &r.w.Classes[c.class]
	patience := min(Time(r.w.Clients.Patience*float64(k.Deadline)), c.end-r.now)
	if c.draw(7) < r.w.Clients.Hasty {
		patience = min(patience, Time(k.Aim))
	}
	m := grab(&r.jobs, &r.freeJ)
	if m >= 1<<idBits {
		r.fail(chosen, "has a part in over %d requests open at once", 1<<idBits)
		return
	}
	r.jobNo++
	j := &r.jobs[m]
	j.id, j.call, j.proxy, j.deadline = r.jobNo<<idBits|uint64(m), n, chosen, r.now+patience
	c.job = j.id
	c.refs++
	r.at(r.tick(r.now+travel), event{kind: evTake, a: m, id: j.id})
	r.at(j.deadline, event{kind: evLeave, a: n, id: j.id})
}

// take gives a try to its proxy.
func (r *run) take(m int32, id uint64) {
	j := &r.jobs[m]
	if j.id != id {
		return
	}
	p, c := &r.proxies[j.proxy], &r.calls[j.call]
	if !p.up {
		r.at(r.now+Time(r.w.Net.Client), event{kind: evBack, a: j.call, n: uint8(policy.ConnectFailed), id: id})
		r.freeJob(m)
		return
	}
	p.open++
	patience := max(1, j.deadline-r.now)
	r.see(Record{Kind: Taken, Proxy: j.proxy, ID: id, Call: c.no, Class: c.class, Span: patience})
	r.at(j.deadline+Time(r.w.Told.AnswerSlack)+1, event{kind: evOverdue, a: m, id: id})
	r.ev = policy.Event{Kind: policy.RequestArrived, ID: id, Class: c.class, Tenant: uint32(c.tenant), AffinityKey: c.key, Work: c.hint,
		ClientTimeout: patience, ClientRetry: r.w.Clients.Marks && c.tries > 1}
	r.give(j.proxy)
}

// back brings a client the end of one of its tries; id 0: it reached no proxy.
func (r *run) back(n int32, id uint64, out policy.Outcome, after Time) {
	c := &r.calls[n]
	if c.over || c.job != id {
		return
	}
	if out == policy.OK {
		r.endCall(n, true)
		return
	}
	r.again(n, out, after)
}

// leave is a client's end of patience with a try.
func (r *run) leave(n int32, id uint64) {
	if c := &r.calls[n]; !c.over && c.job == id {
		r.again(n, policy.TimedOut, 0)
	}
}

// again lets a client try once more, as its class allows: a safe request after any failure, a keyed one that all
// servers know by its key likewise, others only where nothing can have run. Reckless clients do not ask.
func (r *run) again(n int32, out policy.Outcome, after Time) {
	c := &r.calls[n]
	k := &r.w.Classes[c.class]
	c.job = 1 // answers to the last try come too late from here
	may := out == policy.Rejected || out == policy.ConnectFailed || *effects[k.Effect] == policy.Idempotent ||
		*effects[k.Effect] == policy.Deduplicated && *groups[k.Group] == policy.DedupEverywhere && r.now-c.made < Time(k.Window)
	if !may && c.draw(3) < r.w.Clients.Reckless {
		may = true
	}
	wait := Time(r.w.Clients.Backoff)
	if r.rapid {
		wait = 0
	}
	if after > 0 && c.draw(4) < r.w.Clients.Heed {
		wait = max(wait, min(after, Time(r.w.Clients.MostHeeded)))
	}
	next := r.now + max(1, wait)
	if !may || int(c.tries) > r.retries || next >= c.end {
		r.endCall(n, false)
		return
	}
	r.at(next, event{kind: evTry, a: n, id: c.no})
}

func (r *run) endCall(n int32, served bool) {
	c := &r.calls[n]
	c.over = true
	r.openC--
	r.see(Record{Kind: CallOver, Call: c.no, Flag: served, Span: r.now - c.made, Class: c.class, Tenant: c.tenant})
	r.unref(n)
}

func (r *run) unref(n int32) {
	if c := &r.calls[n]; c.refs > 1 {
		c.refs--
	} else {
		c.refs, c.no, c.over = 0, 0, true
		r.freeC = append(r.freeC, n)
	}
}
