package admission

import (
	"math"
	"math/rand/v2"
	"testing"
)

// With a service that executes 20 requests at once and queues the rest, the limit settles near 20, from a higher and
// from a lower initial limit.
func TestController_LimitFindsCapacity(t *testing.T) {
	for _, start := range []float64{4, 1000} {
		s := testSettings(1)
		s.MinLimit, s.InitialLimit, s.MaxLimit, s.MaxQueued = 4, start, 4096, 200
		h := newHarness(t, s)
		g := rand.New(rand.NewPCG(3, 4))
		type job struct {
			ticket Ticket
			left   float64
		}
		var jobs []job
		seen := 0
		for step := range 120_000 { // of 1 ms: two minutes
			h.now += ms
			if step < 4000 && step%10 == 0 || step >= 4000 && g.Float64() < 0.4 { // little load at first, then twice the capacity
				h.submit(Request{Deadline: h.now + 2*sec})
			}
			for ; seen < len(h.inFlight); seen++ {
				jobs = append(jobs, job{h.inFlight[seen], 100 * (0.5 + g.Float64())})
			}
			share := math.Min(1, 20/math.Max(1, float64(len(jobs))))
			kept := jobs[:0]
			for _, j := range jobs {
				if j.left -= share; j.left > 0 {
					kept = append(kept, j)
				} else {
					h.record(h.controller.Finish(h.now, j.ticket, true, nil))
				}
			}
			jobs = kept
			h.record(h.controller.Tick(h.now, nil))
		}
		if limit := h.controller.State().Limit; limit < 18 || limit > 70 {
			t.Errorf("from %v the limit settles at %.1f, but the service executes 20 requests at once", start, limit)
		}
		if got := h.controller.Stats(0).AdmittedWork / 118e6 / 20; got < 0.85 {
			t.Errorf("from %v: only %.2f of the capacity is used", start, got)
		}
	}
}
