package model

// slot is an attempt that a server is executing.
type slot struct {
	finish  float64 // the server's virtual time at which it is completed
	attempt int32
}

// slotHeap is a binary heap of slots, ordered by finish.
type slotHeap []slot

func (h *slotHeap) push(e slot) {
	*h = append(*h, e)
	s := *h
	i := len(s) - 1
	for i > 0 && s[(i-1)/2].finish > e.finish {
		s[i] = s[(i-1)/2]
		i = (i - 1) / 2
	}
	s[i] = e
}

// pop removes the slot with the lowest finish and returns its attempt.
func (h *slotHeap) pop() int32 {
	s := *h
	first, n := s[0].attempt, len(s)-1
	last := s[n]
	s = s[:n]
	*h = s
	if n == 0 {
		return first
	}
	i := 0
	for {
		child := 2*i + 1
		if child >= n {
			break
		}
		if child+1 < n && s[child+1].finish < s[child].finish {
			child++
		}
		if s[child].finish >= last.finish {
			break
		}
		s[i] = s[child]
		i = child
	}
	s[i] = last
	return first
}

// attemptQueue is the FIFO queue of attempts that wait for a slot.
type attemptQueue struct {
	items []int32
	head  int
}

func (q *attemptQueue) len() int { return len(q.items) - q.head }

func (q *attemptQueue) waiting() []int32 { return q.items[q.head:] }

func (q *attemptQueue) push(attempt int32) { q.items = append(q.items, attempt) }

func (q *attemptQueue) pop() int32 {
	attempt := q.items[q.head]
	q.head++
	return attempt
}

func (q *attemptQueue) clear() { q.items, q.head = q.items[:0], 0 }

// compact removes the popped items from the slice once all, or more than half and more than 256, of its items are
// popped.
func (q *attemptQueue) compact() {
	if q.head == len(q.items) {
		q.clear()
	} else if q.head > 256 && 2*q.head > len(q.items) {
		q.items = append(q.items[:0], q.items[q.head:]...)
		q.head = 0
	}
}

// workWindow sums up the work that arrived within a sliding window of time.
type workWindow struct {
	times []Time
	work  []float64
	head  int
	sum   float64
}

// add adds work at time now and returns the sum over the window that ends now.
func (w *workWindow) add(now, window Time, work float64) float64 {
	for w.head < len(w.times) && w.times[w.head] <= now-window {
		w.sum -= w.work[w.head]
		w.head++
	}
	if w.head > 64 && 2*w.head > len(w.times) {
		n := copy(w.times, w.times[w.head:])
		copy(w.work, w.work[w.head:])
		w.times, w.work, w.head = w.times[:n], w.work[:n], 0
	}
	if work > 0 {
		w.times, w.work, w.sum = append(w.times, now), append(w.work, work), w.sum+work
	}
	return w.sum
}
