package policy

import "math"

// pick examines the next few turns of the schedule, and then looks further ahead for an idle connection: with
// many servers, a server's next turn comes only after its idle connections have been closed.
const (
	maxCandidates         = 16  // turns of servers that the request may use
	maxIdleConnCandidates = 128 // further turns, for warm servers with an idle connection
)

// A server that recently executed a request with the same affinity key needs less than half of the work, so a
// request is sent elsewhere only if its home servers have far more in flight. The penalties of other servers,
// in units of loadScore:
const (
	minAffinityPenalty     = 10.0
	affinityPenaltyPerLoad = 1.0 // times the mean load score; the second home has half of the penalty
)

const (
	// newConnPenalty is in units of loadScore: a new connection costs time, and servers accept a limited
	// number.
	newConnPenalty = 1
	// sameServerPenalty is the penalty of a server that already had an attempt of the request: it is picked
	// only if there is no other.
	sameServerPenalty = 1000
)

// isSchedulable reports whether s may get turns.
func (b *Balancer) isSchedulable(s *server) bool {
	if !s.isReady() || s.ejected || s.stalled || s.onProbation && s.inFlight > 0 {
		return false
	}
	return !s.warmingUp || s.slowStartTokens >= 1
}

// updateSchedule adds s to the schedule or removes it, by isSchedulable. A server that missed turns while it
// was not in the schedule gets its next turn at a random time within its own interval: if it made up for the
// missed turns, it would get a burst.
func (b *Balancer) updateSchedule(s *server) {
	isSchedulable := b.isSchedulable(s)
	switch {
	case isSchedulable && !s.IsQueued():
		if s.Deadline < b.virtualTime {
			s.Deadline = b.virtualTime + b.rng.Float64()/s.weight
		}
		b.schedule.Push(&s.Item)
	case !isSchedulable && s.IsQueued():
		b.schedule.Remove(&s.Item)
	}
}

// setWeight changes the weight of s and rescales the time to its next turn. With the deadline of the old
// weight, a server whose weight rises again from almost nothing would wait very long for its next turn, and a
// server whose weight falls would get it too soon.
func (b *Balancer) setWeight(s *server, weight float64) {
	if weight == s.weight {
		return
	}
	if s.Deadline > b.virtualTime && weight > 0 && s.weight > 0 {
		s.Deadline = b.virtualTime + (s.Deadline-b.virtualTime)*s.weight/weight
	}
	s.weight = weight
	if s.IsQueued() {
		b.schedule.Fix(&s.Item)
	}
	b.updateSchedule(s)
}

// pick returns the server for r, or nil if there is none: a home server of the affinity key, or else the
// server with the lowest load score among the next turns that r may use; of equal scores, the earliest turn.
// The server's next turn comes 1/weight later (gRFC A58). Skipped turns keep their deadline, so that the
// long-run shares follow the weights. The search stops at a score of no more than the affinity penalty: no
// server but a home can have a lower one.
func (b *Balancer) pick(r *request) *server {
	best, bestScore := b.pickHome(r)
	skipped := b.skipped[:0]
	candidates := 0
	for bestScore > r.affinityPenalty && b.schedule.Len() > 0 && candidates < maxCandidates {
		s := b.schedule.Peek()
		if b.mayAttemptOn(r, s) && !b.exceedsSlowStartBudget(s, r.cost) {
			candidates++
			if score := b.loadScore(r, s); score < bestScore {
				best, bestScore = s, score
			}
		}
		skipped = append(skipped, b.schedule.Pop())
	}
	best = b.pickIdleConn(r, best, bestScore)
	for _, s := range skipped {
		b.schedule.Push(&s.Item)
	}
	if b.skipped = skipped; best == nil {
		return nil
	}
	b.virtualTime = max(b.virtualTime, b.schedule.Peek().Deadline)
	best.Deadline = max(best.Deadline, b.virtualTime) + 1/best.weight
	b.schedule.Fix(&best.Item)
	return best
}

// pickIdleConn returns the warm server with an idle connection that has the lowest load score below
// bestScore, or best if there is none. Servers that warm up get requests only in their turns, since slow
// start bounds what they are sent.
func (b *Balancer) pickIdleConn(r *request, best *server, bestScore float64) *server {
	for _, item := range b.schedule.Front(maxIdleConnCandidates) {
		s := item.Value
		score := b.loadScore(r, s)
		if score < bestScore && !s.warmingUp && s.openConns > s.inFlight && b.mayAttemptOn(r, s) {
			best, bestScore = s, score
		}
	}
	return best
}

// pickHome returns the home server of r's affinity key with the lower load score, of those that r may use,
// and its score; nil and +Inf if there is none. It also sets r.homes and r.affinityPenalty, which loadScore
// needs.
func (b *Balancer) pickHome(r *request) (best *server, bestScore float64) {
	r.affinityPenalty, bestScore = 0, math.Inf(1)
	if r.affinityKey == 0 || !b.settings.KeyAffinity {
		return nil, bestScore
	}
	r.homes, _ = b.affinity.Homes(r.affinityKey)
	members := float64(max(1, len(b.members)))
	r.affinityPenalty = minAffinityPenalty + affinityPenaltyPerLoad*2*float64(b.inFlight)/members
	for _, id := range r.homes {
		s := b.servers[id]
		if s == nil || !s.IsQueued() || !b.mayAttemptOn(r, s) || b.exceedsSlowStartBudget(s, r.cost) {
			continue
		}
		if score := b.loadScore(r, s); score < bestScore {
			best, bestScore = s, score
		}
	}
	return best, bestScore
}

// loadScore returns the score of s for r; the lowest score is the best:
//
//	2*inFlight*relativeWorkTime + newConnPenalty + affinity penalty + sameServerPenalty
//
// with each penalty only where it applies. An idle server with an open connection has a score of 0; an
// attempt in flight at a mean server counts as much as two new connections.
func (b *Balancer) loadScore(r *request, s *server) float64 {
	score := 2 * float64(s.inFlight) * s.relativeWorkTime
	if s.inFlight >= s.openConns {
		score += newConnPenalty
	}
	switch {
	case r.affinityPenalty == 0 || s.id == r.homes[0]:
	case s.id == r.homes[1]:
		score += r.affinityPenalty / 2
	default:
		score += r.affinityPenalty
	}
	for i := range r.attempts {
		if r.attempts[i].server == s {
			score += sameServerPenalty
		}
	}
	return score
}
