package distribution

import (
	"time"

	"pumiceline/internal/message"
)

// Totals are the lease holder's totals over all proxies.
type Totals struct {
	Loads             []message.BackendLoad      // of requests, by backend; nil: not known
	Proxies           int                        // number of proxies; 0: not known
	PendingModelLoads []message.PendingModelLoad // model loads that the lease holder's controller has in progress
}

// clusterTotals are the totals that a hub sends to its subscribers.
type clusterTotals struct {
	Totals
	receivedAt time.Time
}

// remainingModelLoads returns the model loads in progress, with the time that is left from now.
func (t *clusterTotals) remainingModelLoads(now time.Time) []message.PendingModelLoad {
	remaining := make([]message.PendingModelLoad, 0, len(t.PendingModelLoads))
	for _, load := range t.PendingModelLoads {
		load.ReadyInMs -= now.Sub(t.receivedAt).Milliseconds()
		remaining = append(remaining, load)
	}
	return remaining
}

// countProxies returns the larger of the lease holder's count and the hub's own. The lease holder's may be older, and
// the hub's own lacks the proxies that poll other coordinators.
func (s *state) countProxies(now time.Time) int {
	return max(s.totals.Proxies, s.subscriptions.countProxies(now))
}

// totalLoads returns the lease holder's total loads, or the sums over the hub's own subscribers while there are none.
func (s *state) totalLoads(now time.Time) []message.BackendLoad {
	if s.totals.Loads != nil {
		return s.totals.Loads
	}
	return s.subscriptions.sumLoads(now)
}
