package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

type slot struct {
	finish float64
	task   int32
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
			out = policy.ErrorResponse
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
