package distribution

import (
	"time"

	"pumiceline/internal/message"
)

// totalsLifetime is how long the lease holder's totals are used. Afterwards the hub uses what it knows itself.
const totalsLifetime = reportLifetime

// Totals are the lease holder's totals over all proxies.
type Totals struct {
	Loads             []message.BackendLoad      // of requests, by backend; nil: not known
	Retries           []message.ServiceRetries   // by service; empty: not known
	Proxies           int                        // number of proxies; 0: not known
	PendingModelLoads []message.PendingModelLoad // model loads that the lease holder's controller has in progress
}

// clusterTotals are the totals that a hub sends to its subscribers.
type clusterTotals struct {
	Totals
	receivedAt time.Time
}

// isCurrent reports whether the loads and model loads may be used at now.
func (t *clusterTotals) isCurrent(now time.Time) bool { return now.Sub(t.receivedAt) <= totalsLifetime }

// currentRetries returns the requests and retries of all proxies; empty: not known. A hub's own sums do not stand in for
// them, as they lack the proxies that poll other coordinators.
func (t *clusterTotals) currentRetries(now time.Time) []message.ServiceRetries {
	if !t.isCurrent(now) {
		return nil
	}
	return t.Retries
}

// remainingModelLoads returns the model loads in progress, with the time that is left from now. It returns none if the
// lease holder has reported none for totalsLifetime.
func (t *clusterTotals) remainingModelLoads(now time.Time) []message.PendingModelLoad {
	if !t.isCurrent(now) {
		return nil
	}
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

// totalLoads returns the lease holder's total loads, or the sums over the hub's own subscribers while there are no
// current ones.
func (s *state) totalLoads(now time.Time) []message.BackendLoad {
	if s.totals.Loads != nil && s.totals.isCurrent(now) {
		return s.totals.Loads
	}
	return s.subscriptions.sumLoads(now)
}
