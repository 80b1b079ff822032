package policy

import "math"

const (
	// attemptLimit is the most attempts of a request that Limits.MaxAttempts can allow, and its default.
	attemptLimit = 8
	// unusedWindowDivisor is the divisor of a dedup window that gives its last part, in which nothing is
	// retried.
	unusedWindowDivisor = 8
)

// The retry budget: attempts after one that may have executed add work, and when all servers are slow they
// make them slower. So they are limited to a fraction of the arrivals. An attempt that was not executed cost
// little and needs no token. (The system's proxy has another budget, by a sliding window over all proxies:
// balancer.RetryBudget.)
const (
	retryRatio = 0.2  // tokens gained with each arrival
	retryBurst = 10.0 // the most tokens
)

// takeRetryToken takes a token for a retry after a, if one is needed; false means that the budget is used up.
func (b *Balancer) takeRetryToken(a *attempt) bool {
	if !a.mayHaveExecuted {
		return true
	}
	if b.retryTokens < 1 {
		return false
	}
	b.retryTokens--
	return true
}

// mayAttempt reports whether r may have another attempt on any server.
func (b *Balancer) mayAttempt(r *request) bool {
	if r.done || r.streaming || len(r.attempts) >= r.maxAttempts || b.now >= r.deadline {
		return false
	}
	if r.inFlight > 0 && !b.settings.Limits.AllowHedging {
		return false
	}
	return b.now < r.retryDeadline()
}

// mayAttemptOn reports whether r may have another attempt on s. A deduplicated request stays in the scope of
// those servers that recognize its earlier attempts.
func (b *Balancer) mayAttemptOn(r *request, s *server) bool {
	if !b.mayAttempt(r) || !s.isReady() {
		return false
	}
	if r.class.Semantics != Deduplicated {
		return true
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.mayHaveExecuted && !a.sharesDedupScope(s, r.class.DedupScope) {
			return false
		}
	}
	return true
}

// sharesDedupScope reports whether s recognizes an execution of a.
func (a *attempt) sharesDedupScope(s *server, scope DedupScope) bool {
	switch scope {
	case DedupPerZone:
		return a.zone == s.zone
	case DedupPerCell:
		return a.cell == s.cell
	}
	return true
}

// retryDeadline is when another attempt must not be written any more: math.MaxInt64 for idempotent requests,
// 0 once a non-idempotent one may have been executed. The scope of a deduplicated request forgets its key a
// DedupWindow after the attempt was sent. A server may start the new attempt some time after that is sent, so
// the last part of the window is not used.
func (r *request) retryDeadline() Time {
	deadline := Time(math.MaxInt64)
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.mayHaveExecuted {
			continue
		}
		switch r.class.Semantics {
		case NonIdempotent:
			return 0
		case Deduplicated:
			deadline = min(deadline, a.sentAt+r.class.DedupWindow-r.class.DedupWindow/unusedWindowDivisor)
		}
	}
	return deadline
}

// mayReject reports whether r may be rejected, which promises the client that a retry is safe.
func (r *request) mayReject() bool {
	safe := r.class.Semantics == Idempotent ||
		r.class.Semantics == Deduplicated && r.class.DedupScope == DedupEverywhere
	if safe {
		return true
	}
	for i := range r.attempts {
		if r.attempts[i].mayHaveExecuted {
			return false
		}
	}
	return true
}
