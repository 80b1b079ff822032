package distribution

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/message"
)

func retriesOf(service string, requests, shared int) []message.ServiceRetries {
	return []message.ServiceRetries{{Service: service, Requests: requests, Shared: shared}}
}

// The lease holder sums the retries of proxies and of other coordinators, which report those of their proxies.
func TestHub_LeaseHolderSumsRetries(t *testing.T) {
	hub := newServingHub(t)
	poll(t, hub, "proxy", message.PollRequest{Retries: retriesOf("s", 10, 1)})
	poll(t, hub, "coordinator", message.PollRequest{Retries: retriesOf("s", 30, 2)})
	poll(t, hub, "proxy", message.PollRequest{Retries: retriesOf("s", 20, 1)}) // replaces the first report
	assert.Empty(t, poll(t, hub, "other", message.PollRequest{}).Retries, "a sum of some proxies stands for all")
	hub.UseOwnTotals(nil)
	assert.Equal(t, retriesOf("s", 50, 3), poll(t, hub, "other", message.PollRequest{}).Retries)
	assert.Equal(t, retriesOf("s", 50, 3), hub.CollectDemand().Retries)
}

// A proxy must not take retries by totals that the lease holder no longer supplies.
func TestClusterTotals_RetriesExpire(t *testing.T) {
	now := time.Now()
	totals := clusterTotals{Totals: Totals{Retries: retriesOf("s", 10, 1)}, receivedAt: now}
	assert.Len(t, totals.currentRetries(now.Add(totalsLifetime)), 1)
	assert.Empty(t, totals.currentRetries(now.Add(totalsLifetime+time.Millisecond)))
}
