package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newRetryBudget returns a budget of 0.2 retries a request and 60 besides, in a window of 10 s.
func newRetryBudget(started time.Time) *RetryBudget {
	return NewRetryBudget(RetryBudgetOptions{Window: 10 * time.Second, Ratio: 0.2, Allowance: 60, Started: started})
}

func TestRetryBudget_LimitHoldsInEveryWindow(t *testing.T) {
	budget := newRetryBudget(start)
	budget.SetProxies(10, start)
	now := start
	var requests, retries []time.Time
	for step := range 4000 {
		now = now.Add(10 * time.Millisecond)
		if step%7 == 0 && step < 3000 {
			budget.AddRequest("s", now)
			requests = append(requests, now)
		}
		if budget.TryRetry("s", now) {
			retries = append(retries, now)
		}
	}
	within := func(times []time.Time, end time.Time) (count int) {
		for _, at := range times {
			if !at.After(end) && end.Sub(at) <= 10*time.Second {
				count++
			}
		}
		return count
	}
	for _, end := range retries {
		assert.LessOrEqual(t, float64(within(retries, end)), 0.2*float64(within(requests, end))+60.0/10)
	}
	assert.NotEmpty(t, retries)
}

func TestRetryBudget_NoAllowanceInFirstWindow(t *testing.T) {
	budget := newRetryBudget(start)
	assert.False(t, budget.TryRetry("s", start.Add(9*time.Second)), "the process that it replaces may have spent the allowance")
	assert.True(t, budget.TryRetry("s", start.Add(10*time.Second)))
}

// A coordinator that has just started reports one proxy. If the count took effect at once, each proxy would use the
// full allowance.
func TestRetryBudget_LowerProxyCountAppliesAfterTwoWindows(t *testing.T) {
	budget := newRetryBudget(start)
	budget.SetProxies(10, start)
	budget.SetProxies(1, start.Add(15*time.Second))
	assert.Equal(t, 10, budget.Proxies())
	budget.SetProxies(12, start.Add(16*time.Second))
	assert.Equal(t, 12, budget.Proxies(), "a higher count must take effect at once")
	budget.SetProxies(11, start.Add(36*time.Second))
	assert.Equal(t, 12, budget.Proxies())
	budget.SetProxies(11, start.Add(37*time.Second))
	assert.Equal(t, 11, budget.Proxies())
}
