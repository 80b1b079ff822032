package distribution

import (
	"time"

	"pumiceline/internal/message"
)

// Totals is what the lease holder knows of all proxies together.
type Totals struct {
	Loads        []message.BackendLoad // nil: not known
	Proxies      int                   // how many proxies there are; 0: not known
	PendingLoads []message.PendingLoad // loads of models that are under way
}

// clusterTotals are the totals that a hub sends to its subscribers.
type clusterTotals struct {
	Totals
	receivedAt time.Time
}

// remainingPendingLoads returns the loads under way with the time that is left from now.
func (t *clusterTotals) remainingPendingLoads(now time.Time) []message.PendingLoad {
	remaining := make([]message.PendingLoad, 0, len(t.PendingLoads))
	for _, load := range t.PendingLoads {
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
