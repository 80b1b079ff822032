package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

type serverState uint8

const (
	up serverState = iota
	draining
	down
)

// server is one server, and under the same id its successors.
//
// It works by processor sharing: each request in a slot gets the same rate, at most one core. v is the virtual time
// of Parekh and Gallager's fluid model, the work that a request held since the start would have got; a request is done when v
// passes its finish, so that a change of rate touches no request.
type server struct {
	n       int32
	id      uint32
	zone    uint8
	cell    uint16
	kindNo  int32
	kind    *Kind
	speed   float64
	state   serverState
	epoch   int32
	conns   int
	started Time // 0: long ago

	cold     bool
	warmWork float64 // done since the start
	pushed   tally   // work that has come within Tip.Over

	hung, paused int
	stolen       float64
	slowed       float64
	failing      float64
	late         Time
	replacing    bool // a successor is to follow
	fresh        bool // under a new id

	met map[uint64]Time // keys, and when it met them last

	v      float64
	vAt    Time
	rate   float64 // of one request
	nextAt Time
	slots  []slot  // heap by finish
	queue  []int32 // tasks waiting; head is where it begins
	head   int
	owed   float64 // work held
	coming float64 // work sent that has not come yet; deciders cannot know it

	busy     float64 // core-microseconds since the last report
	done     float64 // requests since then
	errors   float64
	reported Time
	reports  [8]reportOf
	reportN  int
}

type slot struct {
	finish float64
	task   int32
}

type reportOf struct {
	at     Time
	values [3]float32
}

// tally is the work that came within a sliding time.
type tally struct {
	at   []Time
	work []float64
	head int
	sum  float64
}

func (t *tally) add(now, over Time, work float64) float64 {
	for t.head < len(t.at) && t.at[t.head] <= now-over {
		t.sum -= t.work[t.head]
		t.head++
	}
	if t.head > 64 && 2*t.head > len(t.at) {
		n := copy(t.at, t.at[t.head:])
		copy(t.work, t.work[t.head:])
		t.at, t.work, t.head = t.at[:n], t.work[:n], 0
	}
	if work > 0 {
		t.at, t.work, t.sum = append(t.at, now), append(t.work, work), t.sum+work
	}
	return t.sum
}

// full is the capacity of the warm server, in standard cores.
func (s *server) full() float64 { return float64(s.kind.Cores) * s.speed }

// warmth is the share of its capacity that the server has.
func (r *run) warmth(s *server) float64 {
	if !s.cold {
		return 1
	}
	k := s.kind
	age := float64(r.now - s.started)
	progress := 1.0
	if k.ColdFor > 0 {
		progress = age / float64(k.ColdFor)
	}
	if k.WarmByWork {
		// At half use it warms in ColdFor, and at none it does in the time that deciders are told.
		need := s.full() * float64(k.ColdFor) * (1 + k.ColdFrom) / 4
		progress = math.Max(s.warmWork/math.Max(need, 1), age/math.Max(1, float64(r.w.Told.Cold)))
	}
	if progress >= 1 {
		s.cold = false
		return 1
	}
	return k.ColdFrom + (1-k.ColdFrom)*progress
}

func (r *run) addServer(zone, kindNo int32, k *Kind, speed float64) *server {
	n := int32(len(r.servers))
	s := &server{n: n, id: uint32(n) ^ r.salt, zone: uint8(zone), kindNo: kindNo, kind: k, speed: speed}
	same := 0
	for _, other := range r.servers[max(0, len(r.servers)-64*r.w.Zones):] {
		if other.zone == s.zone {
			same++
		}
	}
	s.cell = uint16(int(zone) + r.w.Zones*(same/r.w.Cell))
	if len(r.servers) > 64*r.w.Zones { // large fleets: cells by the order of coming
		s.cell = uint16(int(zone) + r.w.Zones*(int(n)/r.w.Zones/r.w.Cell))
	}
	r.servers = append(r.servers, s)
	return s
}

// advance brings a server's work up to the present.
func (r *run) advance(s *server) {
	if dt := float64(r.now - s.vAt); dt > 0 {
		s.v += s.rate * dt
		s.busy += math.Min(float64(len(s.slots)), float64(s.kind.Cores)) * dt
	}
	s.vAt = r.now
}

// settle finds a server's new rate and when it will next have finished something.
func (r *run) settle(s *server) {
	n := len(s.slots)
	s.rate = 0
	if n == 0 {
		return
	}
	if s.hung == 0 && s.paused == 0 && s.state != down {
		k := s.kind
		rate := s.speed * r.warmth(s) * (1 - s.stolen) * (1 - s.slowed)
		rate *= math.Min(1, float64(k.Cores)/float64(n))
		if over := n + len(s.queue) - s.head - k.Knee; over > 0 {
			rate /= 1 + k.Crowding*float64(over)
		}
		full := float64(r.w.Conn.CapPerCore * k.Cores)
		rate *= 1 - r.w.Conn.Tax*math.Min(1, float64(s.conns)/full)
		s.rate = math.Max(0, rate)
	}
	if s.rate <= 1e-9 {
		return // it goes on once what holds it up ends
	}
	next := r.now + max(1, Time(math.Ceil((s.slots[0].finish-s.v)/s.rate)))
	if s.nextAt == 0 || next < s.nextAt {
		s.nextAt = next
		r.at(next, event{kind: evServer, a: s.n})
	}
}

// work ends what is done and begins what waits.
func (r *run) work(s *server) {
	r.advance(s)
	for len(s.slots) > 0 && s.slots[0].finish <= s.v+1e-6 {
		t := popSlot(&s.slots)
		k := &r.tasks[t]
		s.owed -= k.work
		s.done++
		if s.cold {
			s.warmWork += k.work
		}
		out := policy.OK
		if s.kind.Errors > 0 && r.chance.Float64() < s.kind.Errors {
			out = policy.Failed
			s.errors++
		}
		r.see(Record{Kind: Ran, Server: s.id, ID: k.id, Attempt: k.attempt, Call: r.calls[k.call].no, Work: Time(k.work),
			Flag: !k.dropped && !r.calls[k.call].over && out == policy.OK})
		if wait := r.w.Classes[r.calls[k.call].class].Wait; wait > 0 {
			r.at(r.now+Time(lognormal(r.chance, float64(wait), waitCV)), event{kind: evWaited, a: t, n: uint8(out)})
		} else {
			r.reply(t, out)
		}
	}
	for s.head < len(s.queue) && len(s.slots) < s.kind.Slots {
		t := s.queue[s.head]
		s.head++
		pushSlot(&s.slots, slot{s.v + r.tasks[t].work, t})
	}
	if s.head == len(s.queue) {
		s.queue, s.head = s.queue[:0], 0
	} else if s.head > 256 && 2*s.head > len(s.queue) {
		s.queue = append(s.queue[:0], s.queue[s.head:]...)
		s.head = 0
	}
	r.settle(s)
}

func pushSlot(h *[]slot, e slot) {
	*h = append(*h, e)
	s := *h
	i := len(s) - 1
	for i > 0 && s[(i-1)/2].finish > e.finish {
		s[i] = s[(i-1)/2]
		i = (i - 1) / 2
	}
	s[i] = e
}

func popSlot(h *[]slot) int32 {
	s := *h
	top, n := s[0].task, len(s)-1
	last := s[n]
	s = s[:n]
	*h = s
	if n == 0 {
		return top
	}
	i := 0
	for {
		c := 2*i + 1
		if c >= n {
			break
		}
		if c+1 < n && s[c+1].finish < s[c].finish {
			c++
		}
		if s[c].finish >= last.finish {
			break
		}
		s[i] = s[c]
		i = c
	}
	s[i] = last
	return top
}

// reach is an attempt's coming to its server.
func (r *run) reach(t int32) {
	k := &r.tasks[t]
	s := r.servers[k.server]
	s.coming -= k.work
	if r.parted(k.proxy, s) || k.fresh && k.dropped {
		// Cut off on the way, or given up while its connection was made.
		if !k.dropped {
			if k.fresh {
				r.failLater(k, policy.ConnectFailed, k.sent+Time(r.w.Conn.DialWithin))
			} else {
				r.jobs[k.job].tries[k.attempt].task = -1
			}
			r.release(k, false)
		}
		r.freeTask(t)
		return
	}
	if s.state == down || s.epoch != k.epoch && !k.fresh {
		out := policy.Reset // written to a connection whose other end is gone
		if k.fresh {
			out = policy.ConnectFailed
		}
		r.returned(t, out, false)
		return
	}
	if k.fresh {
		if s.epoch != k.epoch { // another process has come up behind the address meanwhile
			if pool := r.proxies[k.proxy].conns[k.server]; pool != nil && r.proxies[k.proxy].inc == k.inc {
				if pool.epoch != s.epoch {
					*pool = conns{epoch: s.epoch}
				}
				pool.used++
			}
			k.epoch = s.epoch
		}
		if s.conns >= r.w.Conn.CapPerCore*s.kind.Cores {
			r.returned(t, policy.ConnectFailed, false)
			return
		}
		s.conns++
		k.work += float64(r.w.Conn.Work)
		r.see(Record{Kind: Opened, Proxy: k.proxy, Server: s.id})
	}
	k.stage = held
	if s.cold {
		able := s.full() * r.warmth(s)
		r.see(Record{Kind: Reached, Proxy: k.proxy, Server: s.id, Work: Time(k.work), Capacity: able})
		if tip := &r.w.Tip; s.cold && tip.Multiple > 0 {
			bears := tip.Multiple*able*float64(tip.Over) + tip.Slack*r.w.meanWork()
			if s.pushed.add(r.now, Time(tip.Over), k.work) > bears {
				r.returned(t, policy.Reset, false)
				r.fall(s)
				return
			}
		}
	}
	if s.state == draining {
		r.returned(t, policy.Full, true)
		return
	}
	if s.failing > 0 && r.chance.Float64() < s.failing {
		s.done++
		s.errors++
		r.returned(t, policy.Failed, true)
		return
	}
	if len(s.slots) >= s.kind.Slots && len(s.queue)-s.head >= s.kind.Room {
		r.returned(t, policy.Full, true)
		return
	}
	if r.meets(s, r.calls[k.call].key) {
		k.work *= 1 - r.w.Keys.Gain
	}
	r.begin(s, k)
	r.advance(s)
	s.owed += k.work
	if len(s.slots) < s.kind.Slots {
		pushSlot(&s.slots, slot{s.v + k.work, t})
	} else {
		s.queue = append(s.queue, t)
	}
	r.settle(s)
}

// begin lets an attempt have its effect. Servers of the class's group know its key for a while and carry a repeat
// out no second time; where it is carried out again, the record says so.
func (r *run) begin(s *server, k *task) {
	c := &r.calls[k.call]
	class := &r.w.Classes[c.class]
	effect := *effects[class.Effect]
	if effect == policy.Safe {
		return
	}
	if c.effectAt < 0 {
		c.effectAt, c.effect.zone, c.effect.cell = r.now, s.zone, s.cell
		return
	}
	if effect == policy.Keyed && r.now-c.effectAt <= Time(class.Window) {
		switch *groups[class.Group] {
		case policy.GroupZone:
			effect = known(c.effect.zone == s.zone)
		case policy.GroupCell:
			effect = known(c.effect.cell == s.cell)
		default:
			effect = policy.Safe
		}
		if effect == policy.Safe {
			k.work = math.Min(k.work, 500) // looked up, not done
			return
		}
	}
	r.see(Record{Kind: Twice, Server: s.id, ID: k.id, Call: c.no, Span: r.now - c.effectAt, Class: c.class})
}

func known(same bool) policy.Semantics {
	if same {
		return policy.Safe
	}
	return policy.Unsafe
}

// reply sends an attempt's end back to its proxy with the server's load report.
func (r *run) reply(t int32, out policy.Outcome) { r.returned(t, out, true) }

// returned sends an attempt's end back. answered: the server says it itself, on a connection that stays.
func (r *run) returned(t int32, out policy.Outcome, answered bool) {
	k := &r.tasks[t]
	s := r.servers[k.server]
	if k.dropped {
		r.freeTask(t)
		return
	}
	if r.parted(k.proxy, s) { // silence: the proxy finds out when its time is up
		r.jobs[k.job].tries[k.attempt].task = -1
		r.release(k, false)
		r.freeTask(t)
		return
	}
	k.outcome = out
	if answered {
		if k.report, k.reports = r.reportOf(s); reportVias[r.w.Reports.Via] != policy.ReportsInAnswers {
			k.reports = false
		}
	} else {
		r.release(k, false)
		k.dropped = true // its connection is gone; only the news is under way
	}
	k.stage = returning
	r.at(r.tick(r.now+r.delay(s.zone, r.proxies[k.proxy].zone)), event{kind: evOutcome, a: t})
}

// outcome is the coming of an attempt's end at its proxy.
func (r *run) outcome(t int32) {
	k := &r.tasks[t]
	j := &r.jobs[k.job]
	if k.dropped && k.outcome != policy.Reset && k.outcome != policy.ConnectFailed || j.id != k.id || !j.tries[k.attempt].out ||
		j.tries[k.attempt].task != t {
		r.freeTask(t) // given up in the meantime
		return
	}
	if !k.dropped {
		r.release(k, true)
	}
	m, at, out, elapsed := k.job, k.attempt, k.outcome, r.now-k.sent
	var report []float32
	if k.reports {
		r.report = append(r.report[:0], k.report[:]...)
		report = r.report
	}
	r.freeTask(t)
	r.proven(m, at, out, elapsed, report)
}

// reportOf is the load report that a server's answer carries now: refreshed now and then, and late.
func (r *run) reportOf(s *server) ([3]float32, bool) {
	rep := &r.w.Reports
	if since := r.now - s.reported; since >= Time(rep.Every) {
		r.advance(s)
		dt := float64(since)
		noise := func() float64 { return math.Max(0, 1+rep.Noise*r.chance.NormFloat64()) }
		util := math.Min(1, s.busy/dt/float64(s.kind.Cores)*(1-s.stolen)+s.stolen)
		s.reportN++
		s.reports[s.reportN%len(s.reports)] = reportOf{r.now,
			[3]float32{float32(util * noise()), float32(s.done / dt * 1e6 * noise()), float32(s.errors / dt * 1e6 * noise())}}
		s.busy, s.done, s.errors, s.reported = 0, 0, 0, r.now
	}
	for i := 0; i < min(s.reportN, len(s.reports)); i++ {
		if v := &s.reports[(s.reportN-i)%len(s.reports)]; v.at <= r.now-Time(rep.Delay)-s.late {
			return v.values, true
		}
	}
	return [3]float32{}, false
}

// serverDown ends a server's process; what it held breaks, and its connections do.
func (r *run) serverDown(s *server, known bool) {
	if s.state == down {
		return
	}
	r.advance(s)
	s.state = down
	lag := r.w.Discovery.Silent
	if known {
		lag = r.w.Discovery.Notice / 4 // an orderly end is told of soon
	}
	r.notice(s, policy.ModeGone, Time(lag))
	broken := make([]int32, 0, len(s.slots)+len(s.queue)-s.head)
	for _, e := range s.slots {
		broken = append(broken, e.task)
	}
	broken = append(broken, s.queue[s.head:]...)
	s.slots, s.queue, s.head, s.owed, s.nextAt = s.slots[:0], s.queue[:0], 0, 0, 0
	for _, t := range broken {
		r.returned(t, policy.Reset, false)
	}
	s.conns = 0
	s.epoch++
}

// serverUp starts a process behind a server's id, cold.
func (r *run) serverUp(s *server) {
	if s.state != down {
		return
	}
	s.state, s.started, s.cold, s.warmWork, s.pushed = up, max(1, r.now), true, 0, tally{}
	s.vAt, s.busy, s.done, s.errors, s.reported, s.reportN = r.now, 0, 0, 0, r.now, 0
	s.paused, s.replacing, s.met = 0, false, nil
	r.see(Record{Kind: Started, Server: s.id, Zone: s.zone})
	r.notice(s, policy.ModeReady, Time(r.w.Discovery.Add))
	r.pauseLater(s.n)
}

// fall is the end of a cold server that was sent too much.
func (r *run) fall(s *server) {
	r.see(Record{Kind: Fell, Server: s.id})
	again := s.replacing
	r.serverDown(s, false)
	if again {
		r.succeed(s)
	} else if r.w.Tip.Down > 0 {
		r.at(r.now+Time(r.w.Tip.Down), event{kind: evServerUp, a: s.n})
	}
}

// drain lets a server finish what it has; its successor follows.
func (r *run) drain(s *server, within Time, fresh bool) {
	if s.state != up {
		return
	}
	s.state, s.replacing, s.fresh = draining, true, fresh
	r.notice(s, policy.ModeDraining, Time(r.w.Discovery.Notice)/4)
	r.at(r.now+within, event{kind: evServerDown, a: s.n, b: s.epoch, n: 1})
}

// succeed starts a server's successor, under its id or a new one, half a second after its end.
func (r *run) succeed(s *server) {
	s.replacing = false
	if s.fresh {
		next := r.addServer(int32(s.zone), s.kindNo, s.kind, s.speed)
		next.cell, next.state = s.cell, down
		r.reg.known = append(r.reg.known, policy.Member{Server: next.id, Zone: next.zone, Cell: next.cell,
			Kind: uint16(next.kindNo), Mode: policy.ModeGone, Size: float64(next.kind.Cores)})
		r.reg.epochs = append(r.reg.epochs, -1) // nothing of it is known: its first start is news
		s = next
	}
	r.at(r.now+500_000, event{kind: evServerUp, a: s.n})
}

func (r *run) pauseLater(n int32) {
	if s := r.servers[n]; s.kind.PauseEvery > 0 && s.kind.Pause > 0 {
		r.at(r.now+1+Time(r.chance.ExpFloat64()*float64(s.kind.PauseEvery)), event{kind: evPause, a: n, b: s.epoch})
	}
}

// pause is a stop of the whole server, such as a collector's, or its end. It grows with what is held.
func (r *run) pause(e *event) {
	s := r.servers[e.a]
	if s.epoch != e.b || s.state == down {
		return
	}
	r.advance(s)
	if e.kind == evResume {
		s.paused--
		r.work(s)
		r.pauseLater(s.n)
		return
	}
	s.paused++
	r.settle(s)
	grow := 1 + float64(len(s.slots)+len(s.queue)-s.head)/float64(2*s.kind.Slots)
	r.at(r.now+1+Time(float64(s.kind.Pause)*grow*r.chance.ExpFloat64()), event{kind: evResume, a: e.a, b: e.b})
}

// sample records the use of each server that runs.
func (r *run) sample() {
	r.load = r.load[:0]
	for _, s := range r.servers {
		if s.state == up {
			r.load = append(r.load, math.Min(float64(len(s.slots)+len(s.queue)-s.head), float64(4*s.kind.Cores))/float64(s.kind.Cores))
		}
	}
	sortFloats(r.load)
	r.see(Record{Kind: Sample, Load: r.load})
}
