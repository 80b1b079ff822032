package soak

import (
	"cmp"
	"net/http"
	"slices"
)

// checkHolds checks that no two applications count themselves holder of one lock at the same moment (ONE).
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

// checkTokens checks that a fencing token is above all that another holder obtained before the call was sent, and not below
// those of the same holder; and that no two holders get one token (ONE).
func checkTokens(h *History, _ *timeline) violations {
	var found violations
	acquired := map[string][]LockCall{}
	for _, call := range h.Applications.LockCalls {
		if call.Method != LockAcquire || call.Status != http.StatusOK {
			continue
		}
		for _, other := range acquired[call.Lock] {
			if text := judgeTokens(call, other); text != "" {
				found.add(RuleOne, call.EndedAt, "%s gave token %d to %s and token %d to %s: %s", call.Lock, other.Token, other.Owner,
					call.Token, call.Owner, text)
			}
		}
		acquired[call.Lock] = append(acquired[call.Lock], call)
	}
	return found
}

// judgeTokens returns what is wrong with the tokens of two acquisitions; empty: nothing.
func judgeTokens(a, b LockCall) string {
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

// checkNumbers checks that no number of a name is given twice, and that each is above those given before it was asked for
// (ORDER).
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

// checkLate checks that each call was answered in time at the end (LOST). A machine that holds up coordinators excuses one
// that is late.
func checkLate(h *History, t *timeline) violations {
	var found violations
	for _, late := range h.Applications.Late {
		if !late.IsAnswered || !t.isCoreSlowed(h.LastFault, h.StopFrom) {
			found.add(RuleLost, h.StopFrom, "%s was not answered within %v at the end: answered %t after %v", late.What, finalPatience,
				late.IsAnswered, late.Waited)
		}
	}
	return found
}
