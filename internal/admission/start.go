package admission

// Start bounds the window after a start. Many balancers that start together into more work than can be done would flood their servers
// before the first answer tells of a queue, and would take what answers take in that flood for what they take without one. So little is out
// until that is known, and then as much as arrives while an answer takes. The zero Start bounds nothing yet.
type Start struct {
	known bool
	bound float64
	begun int64 // when the bound began, in microseconds as all times here

	first             int64 // arrival
	arrivals, answers int
	took              float64 // by an answer, on the mean of the first ones
}

const (
	startEach  = 3.0        // attempts at each server, for all balancers of the group
	startLeast = 0.5        // out on the mean
	startFew   = 20         // answers that are looked at: later ones may have met a queue
	startMost  = 10_000_000 // until the bound ends in any case, where few answers come
)

// Begin is the first window, of one of group balancers with this many servers.
func (s *Start) Begin(now int64, servers, group int) float64 {
	s.begun, s.bound = now, max(startLeast, startEach*float64(servers)/float64(max(1, group)))
	return s.bound
}

// Arrived takes a request.
func (s *Start) Arrived(now int64) {
	if s.arrivals++; s.arrivals == 1 {
		s.first = now
	}
}

// Answered takes the time of an answer.
func (s *Start) Answered(took float64) {
	if s.answers < startFew {
		s.answers++
		s.took += (took - s.took) / float64(s.answers)
	}
}

// Learnt ends the bound: what answers take is known. The first time it is the window that what arrives needs, from then on 0.
func (s *Start) Learnt(now int64) float64 {
	if s.known {
		return 0
	}
	s.known = true
	return max(s.bound, s.took*float64(s.arrivals)/float64(max(1, now-s.first)))
}

// Over says whether a window may be widened.
func (s *Start) Over(now int64) bool { return s.known || s.bound == 0 || now-s.begun > startMost }
