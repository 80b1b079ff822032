package policy

import "math"

// place puts s into the schedule or takes it out, as its state asks.
func (b *Balancer) place(s *server) {
	in := b.schedulable(s)
	switch {
	case in && !s.Waits():
		if s.Due < b.turn { // it was away: a place at random within its own interval, not a backlog
			s.Due = b.turn + b.rng.Float64()/s.weight
		}
		b.turns.Add(&s.Turn)
	case !in && s.Waits():
		b.turns.Remove(&s.Turn)
	}
}

// reweigh changes the weight of s. The wait that remains is rescaled, so a change makes no lump.
func (b *Balancer) reweigh(s *server, w float64) {
	if w == s.weight {
		return
	}
	if s.Due > b.turn && w > 0 && s.weight > 0 {
		s.Due = b.turn + (s.Due-b.turn)*s.weight/w
	}
	s.weight = w
	if s.Waits() {
		b.turns.Fix(&s.Turn)
	}
	b.place(s)
}

// pick gives r a turn of its key's home, or one of the next few due turns that it may use: the one whose
// server has the fewest of this balancer's attempts out, then one with an idle connection, then the earliest
// due. Turns that are passed keep their place, so that long-run shares stay those of the weights.
func (b *Balancer) pick(r *request) *server {
	passed := b.passed[:0]
	found, best := b.atHome(r)
	for looked := 0; best > r.miss && b.turns.Len() > 0 && looked < lookAhead; {
		s := b.turns.First()
		if b.permits(r, s) && !b.tooHeavy(s, r.cost) {
			looked++
			if load := b.load(r, s); load < best {
				found, best = s, load
			}
		}
		passed = append(passed, b.turns.Pop())
	}
	for _, t := range b.turns.Soon(lookFar) {
		s := t.Of
		if load := b.load(r, s); load < best && !s.cold && s.conns > s.inflight && b.permits(r, s) {
			found, best = s, load
		}
	}
	for _, s := range passed {
		b.turns.Add(&s.Turn)
	}
	if b.passed = passed; found == nil {
		return nil
	}
	b.turn = max(b.turn, b.turns.First().Due)
	found.Due = max(found.Due, b.turn) + 1/found.weight
	b.turns.Fix(&found.Turn)
	return found
}

// atHome returns the better of the servers that r's key belongs to, as far as r may use them, and its load.
// Its turn counts as any other: what a server is given for its keys, it is not given of the rest.
func (b *Balancer) atHome(r *request) (found *server, best float64) {
	r.miss, best = 0, math.Inf(1)
	if r.key == 0 || !b.set.KeyAffinity {
		return nil, best
	}
	r.homes, _ = b.keys.Homes(r.key)
	r.miss = missLeast + missPart*2*float64(b.inflight)/float64(max(1, len(b.order)))
	for _, id := range r.homes {
		if s := b.servers[id]; s != nil && s.Waits() && b.permits(r, s) && !b.tooHeavy(s, r.cost) {
			if load := b.load(r, s); load < best {
				found, best = s, load
			}
		}
	}
	return found, best
}

// A server that met a key does less than half of the work for it, so a request goes elsewhere only if much
// more is out at its home: in the measure of load, missLeast and missPart times the mean; half to the second.
const missLeast, missPart = 10.0, 1.0

// A request looks at lookAhead due turns, then at about lookFar for a warm server whose connection is idle.
// In a large bank a server's next turn comes after its connection closed. Cold ones keep to their weights.
const lookAhead, lookFar = 16, 128

// load ranks s for r within the look-ahead: 0 is as good as it gets. What is out counts for more at a server
// that can do less.
func (b *Balancer) load(r *request, s *server) float64 {
	load := 2 * float64(s.inflight) * s.toil
	if s.inflight >= s.conns {
		load++ // a new connection costs time, and servers take only so many
	}
	switch {
	case r.miss == 0 || s.id == r.homes[0]:
	case s.id == r.homes[1]:
		load += r.miss / 2
	default:
		load += r.miss
	}
	for i := range r.tries {
		if r.tries[i].server == s {
			load += 1000 // it had an attempt of r already; better than none
		}
	}
	return load
}
