package soak

import (
	"cmp"
	"net/http"
	"slices"
)

// checkHolds checks that no two applications consider themselves the holder of a lock at the same time (ONE).
func checkHolds(h *History, _ *timeline) violations {
	var found violations
	byLock := map[string][]Hold{}
	for _, hold := range h.Applications.Holds {
		if hold.From < hold.Until {
			byLock[hold.Lock] = append(byLock[hold.Lock], hold)
		}
	}
	for lock, holds := range byLock {
		slices.SortFunc(holds, func(a, b Hold) int { return cmp.Compare(a.From, b.From) })
		for i, hold := range holds {
			for _, later := range holds[i+1:] {
				if later.From >= hold.Until {
					break
				}
				if later.Owner != hold.Owner {
					found.add(RuleOne, later.From, "%s is held by %s (token %d) until %.3fs and by %s (token %d)", lock, hold.Owner,
						hold.Token, hold.Until.Seconds(), later.Owner, later.Token)
				}
			}
		}
	}
	return found
}

// checkTokens checks the fencing tokens of a lock (ONE). A token is above all tokens that other holders obtained before
// the call was sent, and not below those of the same holder. No two holders get the same token.
func checkTokens(h *History, _ *timeline) violations {
	var found violations
	acquired := map[string][]LockCall{}
	for _, call := range h.Applications.LockCalls {
		if call.Method != LockAcquire || call.Status != http.StatusOK {
			continue
		}
		for _, other := range acquired[call.Lock] {
			if text := tokenProblem(call, other); text != "" {
				found.add(RuleOne, call.EndedAt, "%s gave token %d to %s and token %d to %s: %s", call.Lock, other.Token, other.Owner,
					call.Token, call.Owner, text)
			}
		}
		acquired[call.Lock] = append(acquired[call.Lock], call)
	}
	return found
}

// tokenProblem describes the fault in the tokens of two acquisitions; empty: none.
func tokenProblem(a, b LockCall) string {
	if a.SentAt < b.SentAt {
		a, b = b, a
	}
	isAfter := b.EndedAt < a.SentAt
	switch {
	case a.Owner != b.Owner && a.Token == b.Token:
		return "the same"
	case isAfter && a.Owner != b.Owner && a.Token < b.Token:
		return "not above one obtained before"
	case isAfter && a.Owner == b.Owner && a.Token < b.Token:
		return "below the holder's own"
	}
	return ""
}

// checkNumbers checks that no number of a name is returned twice, and that each number is above those returned before
// its call was sent (ORDER).
func checkNumbers(h *History, _ *timeline) violations {
	var found violations
	given := map[string][]NumberCall{}
	for _, call := range h.Applications.Numbers {
		if call.Status != http.StatusOK {
			continue
		}
		for _, other := range given[call.Name] {
			first, second := other, call
			if first.SentAt > second.SentAt {
				first, second = second, first
			}
			isAfter := first.EndedAt < second.SentAt
			if first.Value == second.Value || isAfter && second.Value < first.Value {
				found.add(RuleOrder, second.EndedAt, "number %d of %s was given after %d", second.Value, call.Name, first.Value)
			}
		}
		given[call.Name] = append(given[call.Name], call)
	}
	return found
}

// checkLate checks that each call at the end was answered in time (LOST). A late answer is allowed if the machine held
// up a coordinator; no answer is not.
func checkLate(h *History, t *timeline) violations {
	var found violations
	for _, late := range h.Applications.Late {
		if !late.IsAnswered || !t.isCoreSlowed(h.LastFault, h.StopFrom) {
			found.add(RuleLost, h.StopFrom, "%s was not answered within %v at the end: answered %t after %v", late.What, finalTimeout,
				late.IsAnswered, late.Waited)
		}
	}
	return found
}
