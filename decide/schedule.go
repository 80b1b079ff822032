package decide

import "container/heap"

// turns is an earliest-deadline-first schedule: each server in it is due one turn every 1/weight, and the
// earliest due goes next. Virtual time is the deadline of the turn given out last.
type turns struct {
	due  []*server
	time float64
}

func (t *turns) Len() int { return len(t.due) }

// Less breaks ties by id, so that the order never depends on how the heap came about.
func (t *turns) Less(i, j int) bool {
	a, b := t.due[i], t.due[j]
	if a.due != b.due {
		return a.due < b.due
	}
	return a.id < b.id
}

func (t *turns) Swap(i, j int) {
	t.due[i], t.due[j] = t.due[j], t.due[i]
	t.due[i].slot, t.due[j].slot = i, j
}

func (t *turns) Push(x any) {
	s := x.(*server)
	s.slot = len(t.due)
	t.due = append(t.due, s)
}

func (t *turns) Pop() any {
	n := len(t.due) - 1
	s := t.due[n]
	t.due[n] = nil
	t.due = t.due[:n]
	s.slot = -1
	return s
}

// place puts s into the schedule or takes it out, as its state asks.
func (b *Balancer) place(s *server) {
	in := b.schedulable(s)
	switch {
	case in && s.slot < 0:
		if s.due < b.turns.time { // it was away: a place at random within its own interval, not a backlog
			s.due = b.turns.time + b.rng.Float64()/s.weight
		}
		heap.Push(&b.turns, s)
	case !in && s.slot >= 0:
		heap.Remove(&b.turns, s.slot)
	}
}

// reweigh changes the weight of s. The wait that remains is rescaled, so a change makes no lump.
func (b *Balancer) reweigh(s *server, w float64) {
	if w == s.weight {
		return
	}
	if s.due > b.turns.time && w > 0 && s.weight > 0 {
		s.due = b.turns.time + (s.due-b.turns.time)*s.weight/w
	}
	s.weight = w
	if s.slot >= 0 {
		heap.Fix(&b.turns, s.slot)
	}
	b.place(s)
}

// pick gives r one of the next few due turns that it may use: the one whose server has the fewest of this
// balancer's attempts out, then one with an idle connection, then the earliest due. Turns that are passed
// keep their place for the next request, so that long-run shares stay those of the weights.
func (b *Balancer) pick(r *request) *server {
	passed := b.passed[:0]
	found, best := (*server)(nil), 0.0
	for looked := 0; b.turns.Len() > 0 && looked < lookAhead; {
		s := b.turns.due[0]
		if b.permits(r, s) && !b.tooHeavy(s, r.cost) {
			looked++
			if load := b.load(r, s); found == nil || load < best {
				found, best = s, load
			}
			if best == 0 {
				break
			}
		}
		passed = append(passed, heap.Pop(&b.turns).(*server))
	}
	for _, s := range b.turns.due[:min(lookFar, len(b.turns.due))] { // the upper levels of the heap: due soon
		if load := b.load(r, s); load < best && !s.cold && s.conns > s.inflight && b.permits(r, s) {
			found, best = s, load
		}
	}
	for _, s := range passed {
		heap.Push(&b.turns, s)
	}
	if b.passed = passed; found == nil {
		return nil
	}
	b.turns.time = max(b.turns.time, b.turns.due[0].due)
	found.due = max(found.due, b.turns.time) + 1/found.weight
	heap.Fix(&b.turns, found.slot)
	return found
}

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
	for i := range r.tries {
		if r.tries[i].server == s {
			load += 1000 // it had an attempt of r already; better than none
		}
	}
	return load
}
