package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

type slot struct {
	finish float64
	task   int32
}

// workWindow is the work that came within a sliding time.
type workWindow struct {
	times []Time
	work  []float64
	head  int
	sum   float64
}

func (t *workWindow) add(now, over Time, work float64) float64 {
	for t.head < len(t.times) && t.times[t.head] <= now-over {
		t.sum -= t.work[t.head]
		t.head++
	}
	if t.head > 64 && 2*t.head > len(t.times) {
		n := copy(t.times, t.times[t.head:])
		copy(t.work, t.work[t.head:])
		t.times, t.work, t.head = t.times[:n], t.work[:n], 0
	}
	if work > 0 {
		t.times, t.work, t.sum = append(t.times, now), append(t.work, work), t.sum+work
	}
	return t.sum
}

// warmth is the share of its capacity that the server has.
func (r *simulation) warmth(s *server) float64 {
	if !s.cold {
		return 1
	}
	k := s.instanceType
	age := float64(r.now - s.started)
	progress := 1.0
	if k.WarmupTime > 0 {
		progress = age / float64(k.WarmupTime)
	}
	if k.WarmByWork {
		// At half use it warms in WarmupTime, and at none it does in the time that deciders are told.
		need := s.warmCapacity() * float64(k.WarmupTime) * (1 + k.InitialCapacity) / 4
		progress = math.Max(s.warmWork/math.Max(need, 1), age/math.Max(1, float64(r.scenario.Published.WarmupTime)))
	}
	if progress >= 1 {
		s.cold = false
		return 1
	}
	return k.InitialCapacity + (1-k.InitialCapacity)*progress
}

// advanceServer brings a server's work up to the present.
func (r *simulation) advanceServer(s *server) {
	if dt := float64(r.now - s.virtualTimeAt); dt > 0 {
		s.virtualTime += s.ratePerRequest * dt
		s.busy += math.Min(float64(len(s.slots)), float64(s.instanceType.Cores)) * dt
	}
	s.virtualTimeAt = r.now
}

// rescheduleServer finds a server's new rate and when it will next have finished something.
func (r *simulation) rescheduleServer(s *server) {
	n := len(s.slots)
	s.ratePerRequest = 0
	if n == 0 {
		return
	}
	if s.hangs == 0 && s.pauses == 0 && s.state != stateDown {
		k := s.instanceType
		rate := s.speed * r.warmth(s) * (1 - s.stolenShare) * (1 - s.slowdown)
		rate *= math.Min(1, float64(k.Cores)/float64(n))
		if over := n + len(s.queue) - s.head - k.Knee; over > 0 {
			rate /= 1 + k.Crowding*float64(over)
		}
		full := float64(r.scenario.Connections.MaxPerCore * k.Cores)
		rate *= 1 - r.scenario.Connections.CapacityTax*math.Min(1, float64(s.connections)/full)
		s.ratePerRequest = math.Max(0, rate)
	}
	if s.ratePerRequest <= 1e-9 {
		return // it goes on once what holds it up ends
	}
	next := r.now + max(1, Time(math.Ceil((s.slots[0].finish-s.virtualTime)/s.ratePerRequest)))
	if s.nextWakeup == 0 || next < s.nextWakeup {
		s.nextWakeup = next
		r.schedule(next, event{kind: evServerProgress, subject: s.index})
	}
}

// processServer ends what is done and begins what waits.
func (r *simulation) processServer(s *server) {
	r.advanceServer(s)
	for len(s.slots) > 0 && s.slots[0].finish <= s.virtualTime+1e-6 {
		t := popSlot(&s.slots)
		k := &r.serverAttempts[t]
		s.workQueued -= k.work
		s.completed++
		if s.cold {
			s.warmWork += k.work
		}
		out := policy.OK
		if s.instanceType.ErrorRate > 0 && r.serverRand.Float64() < s.instanceType.ErrorRate {
			out = policy.ErrorResponse
			s.errors++
		}
		r.observe(Record{Kind: AttemptExecuted, Server: s.id, ID: k.id, Attempt: k.attempt, Request: r.clientRequests[k.clientRequest].number, Work: Time(k.work),
			Flag: !k.abandoned && !r.clientRequests[k.clientRequest].ended && out == policy.OK})
		if wait := r.scenario.Classes[r.clientRequests[k.clientRequest].class].DownstreamWait; wait > 0 {
			r.schedule(r.now+Time(lognormal(r.serverRand, float64(wait), waitCV)), event{kind: evDownstreamWaitOver, subject: t, code: uint8(out)})
		} else {
			r.returnAnswer(t, out)
		}
	}
	for s.head < len(s.queue) && len(s.slots) < s.instanceType.Slots {
		t := s.queue[s.head]
		s.head++
		pushSlot(&s.slots, slot{s.virtualTime + r.serverAttempts[t].work, t})
	}
	if s.head == len(s.queue) {
		s.queue, s.head = s.queue[:0], 0
	} else if s.head > 256 && 2*s.head > len(s.queue) {
		s.queue = append(s.queue[:0], s.queue[s.head:]...)
		s.head = 0
	}
	r.rescheduleServer(s)
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
