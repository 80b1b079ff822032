package placement

import (
	"math"
	"time"
)

// Margins of the rule on loads from the weight store.
const (
	loadStartSlack = 300 * time.Millisecond // from an order until its load begins, at the most
	loadsBeyond    = 1                      // the rule allows three; two are left for loads taken for warm that are not
	burstShare     = 0.4                    // of a window's loads: so many may begin within a second
)

// LoadAllowance says how many loads from the weight store of a service may begin: by the rule's sliding window over all
// backends and lease holders, and by a bound on each second, from which a successor knows what its predecessor may have
// begun at the most.
type LoadAllowance struct {
	began  time.Time // of this holder's lease
	starts []time.Time
}

// NewLoadAllowance makes the allowance of a holder whose lease began then.
func NewLoadAllowance(began time.Time) *LoadAllowance { return &LoadAllowance{began: began} }

// Start notes a load that has begun.
func (a *LoadAllowance) Start(now time.Time) { a.starts = append(a.starts, now) }

// Left is how many loads may begin now; pending ones are ordered or about to be, and have not begun.
func (a *LoadAllowance) Left(now time.Time, loadsPerS, excess float64, window time.Duration, pending int) int {
	most := max(1, int(loadsPerS*window.Seconds()*excess)+loadsBeyond)
	burst := max(1, int(math.Ceil(burstShare*float64(most))))
	span := window + loadStartSlack
	for len(a.starts) > 0 && now.Sub(a.starts[0]) > span {
		a.starts = a.starts[1:]
	}
	lastSecond := 0
	for _, start := range a.starts {
		if now.Sub(start) <= time.Second+loadStartSlack {
			lastSecond++
		}
	}
	return min(most-len(a.starts)-a.inherited(now, span, burst), burst-lastSecond) - pending
}

// inherited is how many loads the predecessor may have begun within the window: all seconds of it before this lease.
func (a *LoadAllowance) inherited(now time.Time, span time.Duration, burst int) int {
	before := a.began.Sub(now.Add(-span))
	if before <= 0 {
		return 0
	}
	return int(math.Ceil(before.Seconds())) * burst
}
