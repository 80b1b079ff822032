package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// A small service whose backends fail every request, beside a busy one: in each window its retries must stay within
// what its own requests allow. With one budget for all services they used what the busy service's requests allowed.
func TestBalancer_FailingServiceRetriesWithinItsOwnRequests(t *testing.T) {
	const window, ratio, allowance = 10 * time.Second, 0.2, 60
	backends := []message.Backend{plainBackend("busy")}
	for i := range 30 {
		backends = append(backends, backendWith(message.BackendID(fmt.Sprint("failing-", i)), "m"))
	}
	b := newBalancer(t, backends...)
	var requests, retries []time.Time
	for step := range 4000 { // 100 requests a second to the busy service, 10 to the failing one
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		request := newRequest("plain", "", now)
		result, _ := submit(b, request, now)
		require.NotNil(t, result.Backend)
		b.Finish(request, result.Backend, Succeeded, time.Millisecond, now)
		if step%10 == 0 {
			requests = append(requests, now)
			retries = append(retries, retryUntilNotPicked(t, b, now)...)
		}
	}
	require.Greater(t, len(retries), 2*allowance, "the allowance is used in each window")
	for _, end := range retries {
		allowed := ratio*float64(countWithin(requests, end, window)) + allowance
		require.LessOrEqual(t, float64(countWithin(retries, end, window)), allowed, "window until %v", end.Sub(start))
	}
}

// retryUntilNotPicked submits a request for model m whose attempts all fail, until the balancer picks no backend. It
// returns the times of its attempts after the first.
func retryUntilNotPicked(t *testing.T, b *Balancer, now time.Time) (retries []time.Time) {
	t.Helper()
	request := newRequest("llm", "m", now)
	for attempt := 1; ; attempt++ {
		result, waiting := submit(b, request, now)
		if waiting || result.Backend == nil { // it waits once every backend has failed
			b.Cancel(request)
			return retries
		}
		if attempt > 1 {
			retries = append(retries, now)
		}
		b.Finish(request, result.Backend, ErrorResponse, time.Millisecond, now)
	}
}

// countWithin returns how many times are in the window that ends at end.
func countWithin(times []time.Time, end time.Time, window time.Duration) (count int) {
	for _, at := range times {
		if !at.After(end) && end.Sub(at) <= window {
			count++
		}
	}
	return count
}

// A request whose connection attempts fail is one request, however often it is assigned to a backend.
func TestBalancer_FailedConnectionsCountNoRequest(t *testing.T) {
	b := newBalancer(t, plainBackend("a"), plainBackend("b"), plainBackend("c"))
	request := newRequest("plain", "", start)
	for range 3 {
		result, _ := submit(b, request, start)
		require.NotNil(t, result.Backend)
		b.Finish(request, result.Backend, ConnectFailed, time.Millisecond, start)
	}
	assert.Len(t, b.budget.services["plain"].requests, 1)
}
