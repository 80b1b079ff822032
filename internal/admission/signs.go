package admission

// Signs is the share of recent attempts that spoke of a queue. The zero Signs has seen none.
type Signs struct{ share float64 }

const (
	signsFew = 0.1  // the share that comes without a queue
	signGain = 0.05 // how much the latest counts in it
	inUse    = 0.8  // of a window: one that is used less is not widened
)

// Move is the window after another attempt that spoke of a queue, or of none, with out attempts out and itself; widen says whether it may widen.
func (s *Signs) Move(window float64, queue bool, out int, widen bool) float64 {
	s.share -= s.share * signGain
	if queue {
		s.share += signGain
		return Narrow(window)
	}
	if widen && float64(out)+1 > inUse*window {
		return Widen(window, s.share < signsFew)
	}
	return window
}
