package distribution

import (
	"time"

	"pumiceline/internal/message"
)

// Totals is what the lease holder knows of all proxies together.
type Totals struct {
	Loads             []message.BackendLoad      // of requests, by backend; nil: not known
	Proxies           int                        // how many proxies there are; 0: not known
	PendingModelLoads []message.PendingModelLoad // loads of models onto backends, in progress at the lease holder's placer
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

// countProxies is the larger of the lease holder's count and the own one. The holder's may be older, and the own one
// lacks proxies that poll other coordinators.
func (s *state) countProxies(now time.Time) int {
	return max(s.totals.Proxies, s.subscriptions.countProxies(now))
}

// totalLoads are those of the lease holder; while it gave none, the sums over the own subscribers.
func (s *state) totalLoads(now time.Time) []message.BackendLoad {
	if s.totals.Loads != nil {
		return s.totals.Loads
	}
	return s.subscriptions.sumLoads(now)
}
