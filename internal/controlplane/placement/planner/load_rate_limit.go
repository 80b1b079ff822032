package planner

import (
	"math"
	"time"
)

// Safety margins of the rate limit.
const (
	// loadStartSlack is the longest time from a load command until its load starts.
	loadStartSlack = 300 * time.Millisecond
	// extraLoads is how many loads beyond the rate may be started in a window. The deployment's rule tolerates three; two are
	// a reserve for loads that were expected to read a backend's own disk, but read the weight store.
	extraLoads = 1
	// burstShare is the share of a window's loads that may start within one second.
	burstShare = 0.4
)

// LoadRateLimit is the deployment's rule on loads of models from the weight store, for one service: in any window, over
// all backends and lease holders, at most PerSecond * Window * ExcessFactor + 3 loads may start.
type LoadRateLimit struct {
	PerSecond    float64       // loads a second that the weight store allows
	ExcessFactor float64       // by which the loads in a window may exceed that rate
	Window       time.Duration // over which loads are counted
}

// LoadRateLimiter keeps a lease holder within the LoadRateLimit of a service, by a sliding window. A new lease holder
// has no record of the loads that its predecessor started. Therefore the loads of each second are also bounded, by a
// burst: the predecessor has started at most one burst in each second of the window.
type LoadRateLimiter struct {
	leaseStart time.Time
	starts     []time.Time // of loads within the window, in order
}

// NewLoadRateLimiter makes the limiter of a lease holder whose lease began at leaseStart.
func NewLoadRateLimiter(leaseStart time.Time) *LoadRateLimiter {
	return &LoadRateLimiter{leaseStart: leaseStart}
}

// RecordStart records a load that has started.
func (l *LoadRateLimiter) RecordStart(now time.Time) { l.starts = append(l.starts, now) }

// Available returns how many more loads may be commanded now, which may be negative. pending is the number of loads
// that running tasks have yet to command, or have commanded without an answer so far.
//
//	maxLoads  = max(1, floor(PerSecond * Window * ExcessFactor) + extraLoads)
//	burst     = max(1, ceil(burstShare * maxLoads))
//	available = min(maxLoads - started in the window - predecessor's, burst - started in the last second) - pending
func (l *LoadRateLimiter) Available(now time.Time, limit LoadRateLimit, pending int) int {
	maxLoads := max(1, int(limit.PerSecond*limit.Window.Seconds()*limit.ExcessFactor)+extraLoads)
	burst := max(1, int(math.Ceil(burstShare*float64(maxLoads))))
	window := limit.Window + loadStartSlack
	for len(l.starts) > 0 && now.Sub(l.starts[0]) > window {
		l.starts = l.starts[1:]
	}
	lastSecond := 0
	for _, start := range l.starts {
		if now.Sub(start) <= time.Second+loadStartSlack {
			lastSecond++
		}
	}
	return min(maxLoads-len(l.starts)-l.predecessorLoads(now, window, burst), burst-lastSecond) - pending
}

// predecessorLoads is how many loads the previous lease holder may have started within the window: a burst in each second
// of it before this lease.
func (l *LoadRateLimiter) predecessorLoads(now time.Time, window time.Duration, burst int) int {
	before := l.leaseStart.Sub(now.Add(-window))
	if before <= 0 {
		return 0
	}
	return int(math.Ceil(before.Seconds())) * burst
}
