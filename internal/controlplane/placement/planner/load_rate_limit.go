package planner

import (
	"math"
	"time"
)

// Margins of the rate limit.
const (
	// loadStartSlack is the longest time from a load command until its load starts.
	loadStartSlack = 300 * time.Millisecond
	// extraLoads is how many loads above the rate are started in a window. The rule allows three; the others are left for
	// loads that were taken to come from a backend's own disk and do not.
	extraLoads = 1
	// burstShare is the share of a window's loads that may start within one second.
	burstShare = 0.4
)

// LoadRateLimit is the deployment's rule on loads of models from the weight store, for one service: in any window, over
// all backends and lease holders, at most PerSecond * Window * ExcessFactor loads, and a few more, may start.
type LoadRateLimit struct {
	PerSecond    float64
	ExcessFactor float64
	Window       time.Duration
}

// LoadRateLimiter says how many loads from the weight store of a service may start, by a sliding window. Besides, it bounds
// the loads of each second: from that a new lease holder, which does not know what its predecessor started, knows how
// much that was at the most.
type LoadRateLimiter struct {
	leaseStart time.Time
	starts     []time.Time
}

// NewLoadRateLimiter makes the limiter of a lease holder whose lease began at leaseStart.
func NewLoadRateLimiter(leaseStart time.Time) *LoadRateLimiter {
	return &LoadRateLimiter{leaseStart: leaseStart}
}

// RecordStart records a load that has started.
func (l *LoadRateLimiter) RecordStart(now time.Time) { l.starts = append(l.starts, now) }

// Available returns how many loads may start now, which may be negative. Pending loads are commanded, or about to be, and
// have not started.
//
//	most  = max(1, PerSecond * Window * ExcessFactor + extraLoads)
//	burst = max(1, burstShare * most)
//	min(most - started in the window - predecessor's, burst - started in the last second) - pending
func (l *LoadRateLimiter) Available(now time.Time, limit LoadRateLimit, pending int) int {
	most := max(1, int(limit.PerSecond*limit.Window.Seconds()*limit.ExcessFactor)+extraLoads)
	burst := max(1, int(math.Ceil(burstShare*float64(most))))
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
	return min(most-len(l.starts)-l.predecessorLoads(now, window, burst), burst-lastSecond) - pending
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
