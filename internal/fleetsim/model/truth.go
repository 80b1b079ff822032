package model

import (
	"math"
)

// Truth is what no real decider can see: the true state of the servers. It is the upper bound's.
type Truth struct{ r *run }

// Servers is how many servers there have been.
func (t *Truth) Servers() int { return len(t.r.servers) }

// ID and Zone are of the server at a place from 0.
func (t *Truth) ID(n int) uint32 { return t.r.servers[n].id }

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
