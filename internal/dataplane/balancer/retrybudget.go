package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"pumiceline/internal/message"
)

// RetryBudgetOptions are the parameters of a RetryBudget.
type RetryBudgetOptions struct {
	Window    time.Duration
	Ratio     float64 // retries per request, in each window
	Allowance float64 // retries of all proxies together besides, for each service in each window
	Started   time.Time
	// Uniform returns a random number in [0, 1). nil: rand.Float64.
	Uniform func() float64
}

// RetryBudget limits the retries of a proxy, which are the attempts after the first of each request. All proxies
// together may make, for each service and in each sliding window,
//
//	retries <= requests*ratio + allowance
//
// Both terms are reduced by the safety margins ratioMargin and allowanceMargin. Half of this is reserved: each proxy has
// the ratio of its own requests and an equal part of the allowance. The other half is shared: the coordinators report
// how many requests and shared retries all proxies have made, and each proxy may take an equal part of what is left. So
// a proxy that needs many retries gets those that others do not need. Without current reports there are no shared
// retries. A proxy that is alone needs no reports, and has both halves.
//
// A proxy has no allowance in its first window, because the process that it replaces may have spent it.
type RetryBudget struct {
	options     RetryBudgetOptions
	services    map[string]*retryCounts
	proxies     int
	confirmedAt time.Time // when the coordinators last reported at least proxies, or when proxies was last lowered

	totals         map[string]message.ServiceRetries // of all proxies, by service
	totalsProxies  int                               // number of proxies that the totals are of
	totalsAt       time.Time
	rounding       float64 // added to the part of the shared retries before it is rounded down
	roundingDrawAt time.Time
}

// NewRetryBudget returns a budget of a proxy that knows of no other proxy.
func NewRetryBudget(options RetryBudgetOptions) *RetryBudget {
	if options.Uniform == nil {
		options.Uniform = rand.Float64
	}
	return &RetryBudget{options: options, services: map[string]*retryCounts{}, proxies: 1}
}

// SetProxies sets how many proxies share the budget. A lower count takes effect only after two windows without a
// count that is as high as the current one: a coordinator that has just started has not received polls from all
// proxies yet, and a proxy behind a partition still uses its share. Otherwise the proxies could exceed the budget
// together.
func (b *RetryBudget) SetProxies(count int, now time.Time) {
	if count >= b.proxies || now.Sub(b.confirmedAt) > 2*b.options.Window {
		b.proxies, b.confirmedAt = max(1, count), now
	}
}

// Proxies returns how many proxies share the budget, at least 1.
func (b *RetryBudget) Proxies() int { return b.proxies }

// SetTotals sets what all proxies have reported together; see Report. proxies is the number of those proxies.
func (b *RetryBudget) SetTotals(totals []message.ServiceRetries, proxies int, now time.Time) {
	if len(totals) == 0 {
		return // not known
	}
	b.totals = make(map[string]message.ServiceRetries, len(totals))
	for _, total := range totals {
		b.totals[total.Service] = total
	}
	b.totalsProxies, b.totalsAt = proxies, now
	if now.Sub(b.roundingDrawAt) >= retryReportDelay {
		b.rounding, b.roundingDrawAt = b.options.Uniform(), now
	}
}

// Report returns the requests and shared retries of each service in the window.
func (b *RetryBudget) Report(now time.Time) (report []message.ServiceRetries) {
	for name, counts := range b.services {
		counts.expire(now.Add(-b.options.Window))
		if counts.isEmpty() {
			delete(b.services, name)
			continue
		}
		report = append(report, message.ServiceRetries{
			Service: name, Requests: len(counts.requests), Shared: len(counts.shared),
		})
	}
	return report
}

// AddRequest records the first attempt of a request for a service.
func (b *RetryBudget) AddRequest(service string, now time.Time) {
	counts := b.counts(service, now)
	counts.requests = append(counts.requests, now)
}

// TryRetry takes a retry from the budget of a service. If it returns false, the retry must not be made.
func (b *RetryBudget) TryRetry(service string, now time.Time) bool {
	counts := b.counts(service, now)
	switch {
	case float64(len(counts.reserved)+1) <= b.reservedRetries(counts, now):
		counts.reserved = append(counts.reserved, now)
	case float64(counts.sharedSince(now.Add(-retryReportDelay))+1) <= b.sharedRetries(service, now):
		counts.shared = append(counts.shared, now)
	default:
		return false
	}
	return true
}

// reservedRetries returns the reserved retries of a service in a window.
func (b *RetryBudget) reservedRetries(counts *retryCounts, now time.Time) float64 {
	allowed := float64(len(counts.requests)) * b.options.Ratio * ratioMargin
	if !b.isFirstWindow(now) {
		allowed += b.options.Allowance * allowanceMargin / float64(b.proxies)
	}
	if b.proxies == 1 {
		return allowed
	}
	return allowed * reservedRetryShare
}

// sharedRetries returns how many shared retries this proxy may make within retryReportDelay: those that it has made
// earlier are in the totals. Proxies that the totals lack may have made as many as their equal part. Where the part of
// each proxy is below 1, about as many proxies as the sum allows have one.
func (b *RetryBudget) sharedRetries(service string, now time.Time) float64 {
	if b.proxies == 1 || now.Sub(b.totalsAt) > retryTotalsLifetime || b.isFirstWindow(now) {
		return 0
	}
	total := b.totals[service]
	allowed := float64(total.Requests)*b.options.Ratio*ratioMargin + b.options.Allowance*allowanceMargin
	reporting := min(1, float64(b.totalsProxies)/float64(b.proxies))
	left := max(0, allowed*(1-reservedRetryShare)*reporting-float64(total.Shared))
	return math.Floor(left/float64(b.proxies) + b.rounding)
}

func (b *RetryBudget) isFirstWindow(now time.Time) bool {
	return now.Sub(b.options.Started) < b.options.Window
}

// counts returns the attempts for a service that are in the window.
func (b *RetryBudget) counts(service string, now time.Time) *retryCounts {
	counts := b.services[service]
	if counts == nil {
		counts = &retryCounts{}
		b.services[service] = counts
	}
	counts.expire(now.Add(-b.options.Window))
	return counts
}

// retryCounts are the times of the attempts for one service in the window, in ascending order.
type retryCounts struct {
	requests []time.Time // first attempts
	reserved []time.Time // retries of the reserved half
	shared   []time.Time // retries of the shared half
}

func (c *retryCounts) isEmpty() bool { return len(c.requests)+len(c.reserved)+len(c.shared) == 0 }

// expire removes the attempts before start.
func (c *retryCounts) expire(start time.Time) {
	c.requests, c.reserved, c.shared = timesSince(c.requests, start), timesSince(c.reserved, start), timesSince(c.shared, start)
}

func (c *retryCounts) sharedSince(start time.Time) int { return len(timesSince(c.shared, start)) }

// timesSince returns the times that are not before start. times must be in ascending order.
func timesSince(times []time.Time, start time.Time) []time.Time {
	expired := 0
	for expired < len(times) && times[expired].Before(start) {
		expired++
	}
	return times[expired:]
}
