package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

const (
	sharedWindow    = 10 * time.Second
	sharedRatio     = 0.2
	sharedAllowance = 640
)

// retryFleet simulates the budgets of many proxies of one service. Each proxy gets the totals of all with a delay.
type retryFleet struct {
	budgets  []*RetryBudget
	requests []time.Time
	retries  []time.Time
	reports  []message.ServiceRetries // as the coordinators have summed them, oldest first
}

// reportInterval is the time between two totals.
const reportInterval = 500 * time.Millisecond

func newRetryFleet(proxies int) *retryFleet {
	random := rand.New(rand.NewPCG(7, 11))
	f := &retryFleet{budgets: make([]*RetryBudget, proxies)}
	for i := range f.budgets {
		f.budgets[i] = NewRetryBudget(RetryBudgetOptions{
			Window: sharedWindow, Ratio: sharedRatio, Allowance: sharedAllowance, Started: start.Add(-time.Minute),
			Uniform: random.Float64,
		})
		f.budgets[i].SetProxies(proxies, start)
	}
	return f
}

// share sums the reports, and gives each proxy the totals of delay before, in units of reportInterval.
func (f *retryFleet) share(now time.Time, delay int) {
	total := message.ServiceRetries{Service: "s"}
	for _, budget := range f.budgets {
		for _, report := range budget.Report(now) {
			total.Requests += report.Requests
			total.Shared += report.Shared
		}
	}
	f.reports = append(f.reports, total)
	if len(f.reports) <= delay {
		return
	}
	for _, budget := range f.budgets {
		budget.SetTotals(f.reports[len(f.reports)-1-delay:][:1], len(f.budgets), now)
	}
}

// retry makes one request at a proxy, and as many retries as its budget allows, up to limit.
func (f *retryFleet) retry(proxy int, now time.Time, limit int) {
	f.budgets[proxy].AddRequest("s", now)
	f.requests = append(f.requests, now)
	for range limit {
		if !f.budgets[proxy].TryRetry("s", now) {
			return
		}
		f.retries = append(f.retries, now)
	}
}

func (f *retryFleet) requireWithinLimit(t *testing.T) {
	t.Helper()
	for i := 0; i < len(f.retries); i += 10 {
		end := f.retries[i]
		allowed := sharedRatio*float64(countWithin(f.requests, end, sharedWindow)) + sharedAllowance
		require.LessOrEqual(t, float64(countWithin(f.retries, end, sharedWindow)), allowed, "window until %v", end.Sub(start))
	}
}

// The service fails at all proxies at the same time: together they keep the limit, although the totals are late.
func TestRetryBudget_SharedRetriesKeepLimit(t *testing.T) {
	for _, proxies := range []int{10, 300, 1000} {
		f := newRetryFleet(proxies)
		for step := range 80 {
			now := start.Add(time.Duration(step) * reportInterval)
			f.share(now, 3)
			if step < 20 {
				continue
			}
			for i := range f.budgets {
				f.retry(i, now.Add(time.Duration(i)*100*time.Microsecond), 5)
			}
		}
		f.requireWithinLimit(t)
		assert.Greater(t, len(f.retries), 2*sharedAllowance, "%d proxies use the allowance in three windows", proxies)
	}
}

// The requests of a tenth of the proxies fail. They get the retries that the others do not need.
func TestRetryBudget_FewProxiesUseSharedRetriesOfOthers(t *testing.T) {
	const proxies, needy = 300, 30
	f := newRetryFleet(proxies)
	for step := range 80 {
		now := start.Add(time.Duration(step) * reportInterval)
		f.share(now, 1)
		for i := range f.budgets {
			limit := 0
			if i < needy && step >= 20 {
				limit = 5
			}
			f.retry(i, now, limit)
		}
	}
	f.requireWithinLimit(t)
	equalPart := needy * (sharedRatio*ratioMargin*20 + float64(sharedAllowance)*allowanceMargin/proxies) * 3 // in three windows
	assert.Greater(t, float64(len(f.retries)), 1.5*equalPart)
}

func TestRetryBudget_NoSharedRetriesWithoutCurrentTotals(t *testing.T) {
	f := newRetryFleet(300)
	f.share(start, 0)
	f.retry(0, start, 0)
	f.share(start, 0)
	later := start.Add(retryTotalsLifetime)
	assert.Positive(t, f.budgets[0].sharedRetries("s", later))
	assert.Zero(t, f.budgets[0].sharedRetries("s", later.Add(time.Millisecond)))
}
