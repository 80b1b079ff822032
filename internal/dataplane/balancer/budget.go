package balancer

import "time"

// RetryBudget bounds how many sends beyond the first of each request a proxy makes. It may use a part of its own
// requests in the window, and its share of the allowance that all proxies have together. A send counts until the
// window has passed. A proxy that has just started assumes that its share was spent by its predecessor.
type RetryBudget struct {
	window  time.Duration
	ratio   float64
	extra   float64 // of all proxies
	started time.Time

	requests []time.Time
	repeats  []time.Time
	proxies  int
	countAt  time.Time // when there were as many proxies last
}

// Safety margins of the budget: the rule's window slides, and proxies come and go.
const (
	budgetRatioShare = 0.7
	budgetExtraShare = 0.7
)

// NewRetryBudget makes a budget by the rule's figures.
func NewRetryBudget(window time.Duration, ratio, extra float64, now time.Time) *RetryBudget {
	return &RetryBudget{window: window, ratio: ratio, extra: extra, started: now, proxies: 1}
}

// SetProxies says how many proxies share the allowance. A lower count is believed only after two windows: a coordinator
// that has just started has not heard of all, and a proxy that is cut off still uses its share.
func (b *RetryBudget) SetProxies(count int, now time.Time) {
	if count >= b.proxies || now.Sub(b.countAt) > 2*b.window {
		b.proxies, b.countAt = max(1, count), now
	}
}

// Proxies returns how many proxies share what is shared.
func (b *RetryBudget) Proxies() int { return b.proxies }

// Request notes a request's first send.
func (b *RetryBudget) Request(now time.Time) { b.requests = append(b.trim(b.requests, now), now) }

// TryRepeat takes a further send from the budget; false means that it must not be made.
func (b *RetryBudget) TryRepeat(now time.Time) bool {
	b.requests, b.repeats = b.trim(b.requests, now), b.trim(b.repeats, now)
	allowed := float64(len(b.requests)) * b.ratio * budgetRatioShare
	if now.Sub(b.started) >= b.window {
		allowed += b.extra * budgetExtraShare / float64(b.proxies)
	}
	if float64(len(b.repeats)+1) > allowed {
		return false
	}
	b.repeats = append(b.repeats, now)
	return true
}

func (b *RetryBudget) trim(times []time.Time, now time.Time) []time.Time {
	kept := 0
	for kept < len(times) && now.Sub(times[kept]) > b.window {
		kept++
	}
	return times[kept:]
}
