package balancer

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"
)

// RetryBudgetOptions are the parameters of a RetryBudget.
type RetryBudgetOptions struct {
	Window    time.Duration
	Ratio     float64   // retries per request, in each window
	Allowance float64   // retries of all proxies together besides, for each service in each window
	Started   time.Time // of the proxy
	// Uniform returns a random number in [0, 1). nil: rand.Float64.
	Uniform func() float64
}

// RetryBudget limits the retries of a proxy, which are the attempts after the first of each request. Each service has
// retries of its own: a busy service must not lend the ratio of its requests to a small one that fails. In a sliding
// window, a proxy may make retries for a ratio of its own requests for the service, and use its share of an allowance
// of all proxies together:
//
//	retries <= requests*ratio + allowance/proxies, for each service in each window
//
// Both terms are reduced by the safety margins ratioMargin and allowanceMargin. A proxy has no allowance in its first
// window, because the process that it replaces may have spent it.
//
// Where many proxies share a service, the right side is often below 1 at each of them. A proxy therefore rounds it by a
// random number that it draws once for each service: of n proxies with a right side of x, about n*x may make a retry.
type RetryBudget struct {
	options     RetryBudgetOptions
	services    map[string]*serviceRetries
	proxies     int
	confirmedAt time.Time // when the coordinators last reported at least proxies, or when proxies was last lowered
}

// serviceRetries are the attempts for one service in the window.
type serviceRetries struct {
	requests []time.Time // first attempts
	retries  []time.Time
	rounding float64 // added before rounding down, in [0, 1)
}

// NewRetryBudget returns a budget of a proxy that shares the allowance with no other proxy.
func NewRetryBudget(options RetryBudgetOptions) *RetryBudget {
	if options.Uniform == nil {
		options.Uniform = rand.Float64
	}
	return &RetryBudget{options: options, services: map[string]*serviceRetries{}, proxies: 1}
}

// SetProxies sets how many proxies share the allowance. A lower count takes effect only after two windows without a
// count that is as high as the current one: a coordinator that has just started has not received polls from all
// proxies yet, and a proxy behind a partition still uses its share. Otherwise the proxies could exceed the allowance
// together.
func (b *RetryBudget) SetProxies(count int, now time.Time) {
	if count >= b.proxies || now.Sub(b.confirmedAt) > 2*b.options.Window {
		b.proxies, b.confirmedAt = max(1, count), now
	}
}

// Proxies returns how many proxies share the allowance, at least 1.
func (b *RetryBudget) Proxies() int { return b.proxies }

// AddRequest records the first attempt of a request for a service.
func (b *RetryBudget) AddRequest(service string, now time.Time) {
	s := b.service(service)
	s.requests = append(b.inWindow(s.requests, now), now)
}

// TryRetry takes a retry from the budget of a service. If it returns false, the retry must not be made.
func (b *RetryBudget) TryRetry(service string, now time.Time) bool {
	s := b.service(service)
	s.requests, s.retries = b.inWindow(s.requests, now), b.inWindow(s.retries, now)
	allowed := float64(len(s.requests)) * b.options.Ratio * ratioMargin
	if now.Sub(b.options.Started) >= b.options.Window {
		allowed += b.options.Allowance * allowanceMargin / float64(b.proxies)
	}
	if float64(len(s.retries)+1) > math.Floor(allowed+s.rounding) {
		return false
	}
	s.retries = append(s.retries, now)
	return true
}

// RemoveIdle removes the services without attempts in the window.
func (b *RetryBudget) RemoveIdle(now time.Time) {
	maps.DeleteFunc(b.services, func(_ string, s *serviceRetries) bool {
		s.requests, s.retries = b.inWindow(s.requests, now), b.inWindow(s.retries, now)
		return len(s.requests)+len(s.retries) == 0
	})
}

func (b *RetryBudget) service(name string) *serviceRetries {
	if b.services[name] == nil {
		b.services[name] = &serviceRetries{rounding: b.options.Uniform()}
	}
	return b.services[name]
}

// inWindow returns the times that are in the window. times must be in ascending order.
func (b *RetryBudget) inWindow(times []time.Time, now time.Time) []time.Time {
	expired := 0
	for expired < len(times) && now.Sub(times[expired]) > b.options.Window {
		expired++
	}
	return times[expired:]
}
