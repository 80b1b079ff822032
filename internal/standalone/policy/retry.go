package policy

import "math"

const (
	// attemptLimit is the upper bound on Limits.MaxAttempts, and its default.
	attemptLimit = 8
	// unusedWindowDivisor sets the last part of a dedup window, in which nothing is retried: the window
	// divided by it.
	unusedWindowDivisor = 8
)

// The retry budget: a retry after an attempt that may have been executed adds work, and when all servers are
// slow it makes them slower. So such retries are limited to a fraction of the arrivals. An attempt that was
// not executed cost little, and a retry after it needs no token. (The system's proxy has another budget, by a
// sliding window over all proxies: balancer.RetryBudget.)
const (
	retryRatio = 0.2  // tokens gained with each arrival
	retryBurst = 10.0 // maximum number of tokens
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

// mayAttemptOn reports whether r may have another attempt on s. A deduplicated request may go only to servers
// that recognize all of its earlier attempts that may have been executed.
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

// sharesDedupScope reports whether s recognizes that a was executed before.
func (a *attempt) sharesDedupScope(s *server, scope DedupScope) bool {
	switch scope {
	case DedupPerZone:
		return a.zone == s.zone
	case DedupPerCell:
		return a.cell == s.cell
	}
	return true
}

// retryDeadline returns the time from which another attempt must not be written: math.MaxInt64 for idempotent
// requests, 0 once a non-idempotent request may have been executed. The servers of a DedupScope discard the
// key of a deduplicated request a DedupWindow after the attempt was sent, and a later attempt would be
// executed again. A server may start the new attempt some time after it is sent, so the last part of the
// window is not used.
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
