package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newRetryBudget returns a budget of 0.2 retries a request and an allowance of 60 in a window of 10 s.
func newRetryBudget(rounding float64) *RetryBudget {
	return NewRetryBudget(RetryBudgetOptions{
		Window: 10 * time.Second, Ratio: 0.2, Allowance: 60, Started: start, Uniform: func() float64 { return rounding },
	})
}

func TestRetryBudget_LimitHoldsInEveryWindow(t *testing.T) {
	budget := newRetryBudget(0.99)
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
	for _, end := range retries {
		allowed := 0.2*float64(countWithin(requests, end, 10*time.Second)) + 60.0/10
		assert.LessOrEqual(t, float64(countWithin(retries, end, 10*time.Second)), allowed)
	}
	assert.NotEmpty(t, retries)
}

func TestRetryBudget_NoAllowanceInFirstWindow(t *testing.T) {
	budget := newRetryBudget(0.99)
	assert.False(t, budget.TryRetry("s", start.Add(9*time.Second)), "the process that it replaces may have spent the allowance")
	assert.True(t, budget.TryRetry("s", start.Add(10*time.Second)))
}

// A coordinator that has just started reports one proxy. If the count took effect at once, each proxy would use the
// full allowance.
func TestRetryBudget_LowerProxyCountAppliesAfterTwoWindows(t *testing.T) {
	budget := newRetryBudget(0.99)
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

// Three hundred proxies share a service of which each sees three requests in a window, too few for a retry of its own.
// Together they make retries, and keep the limit in each window.
func TestRetryBudget_ManyProxiesOfOneService(t *testing.T) {
	const proxies, windows, requestsOfProxy = 300, 20, 3
	uniform := rand.New(rand.NewPCG(7, 11)).Float64
	var requests, retries []time.Time
	budgets := make([]*RetryBudget, proxies)
	for i := range budgets {
		budgets[i] = NewRetryBudget(RetryBudgetOptions{
			Window: 10 * time.Second, Ratio: 0.2, Allowance: 60, Started: start.Add(-time.Minute), Uniform: uniform,
		})
		budgets[i].SetProxies(proxies, start)
	}
	for step := range windows * requestsOfProxy { // every request fails and wants a retry at once
		for i, budget := range budgets {
			now := start.Add(time.Duration(step)*10*time.Second/requestsOfProxy + time.Duration(i)*time.Millisecond)
			budget.AddRequest("s", now)
			requests = append(requests, now)
			if budget.TryRetry("s", now) {
				retries = append(retries, now)
			}
		}
	}
	for _, end := range retries {
		allowed := 0.2*float64(countWithin(requests, end, 10*time.Second)) + 60
		require.LessOrEqual(t, float64(countWithin(retries, end, 10*time.Second)), allowed)
	}
	assert.Greater(t, len(retries), windows*proxies/4, "nearly half of what the limit and its margins allow, or more")
}

func TestRetryBudget_RemovesIdleServices(t *testing.T) {
	budget := newRetryBudget(0)
	budget.AddRequest("idle", start)
	budget.AddRequest("busy", start.Add(9*time.Second))
	budget.RemoveIdle(start.Add(11 * time.Second))
	assert.NotContains(t, budget.services, "idle")
	assert.Contains(t, budget.services, "busy")
}
