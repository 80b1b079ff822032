package balancer

import "time"

// RetryBudget limits the retries of a proxy, which are the attempts after the first of each request. In a sliding
// window, a proxy may make retries for a ratio of its own requests, and use its share of an allowance of all proxies
// together:
//
//	retries <= requests*ratio + allowance/proxies, in each window
//
// Both terms are reduced by the safety margins ratioMargin and allowanceMargin. A proxy has no allowance in its first
// window, because the process that it replaces may have spent it.
type RetryBudget struct {
	window    time.Duration
	ratio     float64
	allowance float64 // retries in a window, of all proxies together
	started   time.Time

	requests    []time.Time // first attempts in the window
	retries     []time.Time // retries in the window
	proxies     int
	confirmedAt time.Time // when the coordinators last reported at least proxies, or when proxies was last lowered
}

// NewRetryBudget returns a budget of ratio retries per request, and allowance retries of all proxies, in each window.
func NewRetryBudget(window time.Duration, ratio, allowance float64, now time.Time) *RetryBudget {
	return &RetryBudget{window: window, ratio: ratio, allowance: allowance, started: now, proxies: 1}
}

// SetProxies sets how many proxies share the allowance. A lower count takes effect only after two windows without a
// count that is as high as the current one: a coordinator that has just started has not received polls from all
// proxies yet, and a proxy behind a partition still uses its share. Otherwise the proxies could exceed the allowance
// together.
func (b *RetryBudget) SetProxies(count int, now time.Time) {
	if count >= b.proxies || now.Sub(b.confirmedAt) > 2*b.window {
		b.proxies, b.confirmedAt = max(1, count), now
	}
}

// Proxies returns how many proxies share the allowance, at least 1.
func (b *RetryBudget) Proxies() int { return b.proxies }

// AddRequest records the first attempt of a request.
func (b *RetryBudget) AddRequest(now time.Time) {
	b.requests = append(b.inWindow(b.requests, now), now)
}

// TryRetry takes a retry from the budget. If it returns false, the retry must not be made.
func (b *RetryBudget) TryRetry(now time.Time) bool {
	b.requests, b.retries = b.inWindow(b.requests, now), b.inWindow(b.retries, now)
	allowed := float64(len(b.requests)) * b.ratio * ratioMargin
	if now.Sub(b.started) >= b.window {
		allowed += b.allowance * allowanceMargin / float64(b.proxies)
	}
	if float64(len(b.retries)+1) > allowed {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// inWindow returns the times that are in the window. times must be in ascending order.
func (b *RetryBudget) inWindow(times []time.Time, now time.Time) []time.Time {
	expired := 0
	for expired < len(times) && now.Sub(times[expired]) > b.window {
		expired++
	}
	return times[expired:]
}
