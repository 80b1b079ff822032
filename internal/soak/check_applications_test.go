package soak

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// withApplications returns a good history with calls of applications: a lock that passes from a to b, numbers, puts of
// two keys of one group, a read and a watch.
func withApplications() *History {
	h := goodHistory()
	h.acquire("a", 1, 12*second, 13*second)
	h.acquire("b", 2, 13*second+idOffset, 16*second)
	h.number(1, 12*second)
	h.number(2, 13*second)
	h.put("g1.a", "v1", 0, 1, 12*second)
	h.put("g1.b", "v2", 0, 2, 13*second)
	h.put("g1.a", "v3", 1, 4, 14*second)
	h.get("g1.a", "v3", 4, 15*second)
	h.watch(1, 4, 15*second, KeyEvent{"g1.b", "v2", 2}, KeyEvent{"g1.a", "v3", 4})
	return h
}

// acquire adds an acquisition that was answered after 10 ms, and the hold that follows it.
func (h *History) acquire(owner Owner, token uint64, sent, until Moment) {
	answered := sent + second/100
	h.Applications.LockCalls = append(h.Applications.LockCalls, LockCall{Lock: "l", Owner: owner, Method: LockAcquire, Token: token,
		SentAt: sent, EndedAt: answered, Status: http.StatusOK})
	h.Applications.Holds = append(h.Applications.Holds, Hold{Lock: "l", Owner: owner, Token: token, From: answered, Until: until})
}

func (h *History) number(value uint64, sent Moment) {
	h.Applications.Numbers = append(h.Applications.Numbers, NumberCall{Name: "n", Value: value, SentAt: sent,
		EndedAt: sent + second/100, Status: http.StatusOK})
}

// put adds a put that was acknowledged with a revision after 10 ms.
func (h *History) put(key, value string, ifRevision, revision uint64, sent Moment) *Put {
	h.Applications.Puts = append(h.Applications.Puts, Put{Key: key, Value: value, IfRevision: ifRevision, Attempts: []PutAttempt{
		{SentAt: sent, EndedAt: sent + second/100, Status: http.StatusOK, Revision: revision}}})
	return &h.Applications.Puts[len(h.Applications.Puts)-1]
}

// failPut adds a put whose only call was answered with a failure.
func (h *History) failPut(key, value string, status int, revision uint64) {
	attempt := &h.put(key, value, 0, revision, 14*second).Attempts[0]
	attempt.Status = status
}

func (h *History) get(key, value string, revision uint64, sent Moment) {
	h.Applications.Gets = append(h.Applications.Gets, Get{Key: key, Value: value, Revision: revision, SentAt: sent,
		EndedAt: sent + second/100, Status: http.StatusOK})
}

func (h *History) watch(after, revision uint64, sent Moment, events ...KeyEvent) *WatchCall {
	h.Applications.Watches = append(h.Applications.Watches, WatchCall{Group: "g1.", After: after, GivenAt: sent - second,
		SentAt: sent, EndedAt: sent + second/100, Status: http.StatusOK, Events: events, Revision: revision})
	return &h.Applications.Watches[len(h.Applications.Watches)-1]
}

// lockCases, numberCases and keyCases are edits of a good history, each with the only rule that it breaks; no rule: the
// edit is allowed.
var lockCases = []historyCase{
	{"two holders", RuleOne, func(h *History) { h.acquire("c", 3, 15*second, 17*second) }},
	{"a renewal beyond another's start", RuleOne, func(h *History) { h.Applications.Holds[0].Until = 14 * second }},
	{"the same holder twice", "", func(h *History) { h.acquire("b", 3, 15*second, 17*second) }},
	{"held again after the end", "", func(h *History) { h.acquire("a", 3, 16*second+idOffset, 17*second) }},
	{"another lock", "", func(h *History) {
		h.acquire("a", 1, 15*second, 17*second)
		h.Applications.Holds[2].Lock, h.Applications.LockCalls[2].Lock = "m", "m"
	}},
	{"one token for two holders", RuleOne, func(h *History) { h.acquire("a", 2, 17*second, 18*second) }},
	{"a lower token", RuleOne, func(h *History) { h.acquire("a", 1, 17*second, 18*second) }},
	{"the holder's own token again", "", func(h *History) { h.acquire("b", 2, 15*second, 17*second) }},
	{"a lower token for the holder itself", RuleOne, func(h *History) { h.acquire("b", 1, 17*second, 18*second) }},
	{"a lower token for a call that was sent before", "", func(h *History) {
		h.acquire("c", 5, 17*second, 17*second) // an empty hold, so that only the tokens are checked
		h.acquire("d", 4, 17*second, 17*second)
	}},
	{"late at the end", RuleLost, func(h *History) {
		h.Applications.Late = []LateAnswer{{"lock l", 4 * second, true}}
	}},
	{"late at the end with a slowed core", "", func(h *History) {
		h.slow("c1", 59*second)
		h.Applications.Late = []LateAnswer{{"lock l", 4 * second, true}}
	}},
	{"not answered at the end with a slowed core", RuleLost, func(h *History) {
		h.slow("c1", 59*second)
		h.Applications.Late = []LateAnswer{{"lock l", 18 * second, false}}
	}},
}

var numberCases = []historyCase{
	{"a number twice", RuleOrder, func(h *History) { h.number(2, 13*second) }},
	{"a lower number", RuleOrder, func(h *History) { h.number(1, 14*second) }},
	{"a gap", "", func(h *History) { h.number(9, 14*second) }},
	{"a lower number for a call that was sent before", "", func(h *History) {
		h.number(9, 14*second)
		h.number(8, 14*second)
	}},
	{"another name", "", func(h *History) {
		h.number(1, 14*second)
		h.Applications.Numbers[2].Name = "m"
	}},
}

var keyCases = []historyCase{
	{"a stale read", RuleStale, func(h *History) { h.get("g1.a", "v1", 1, 15*second) }},
	{"a stale 404", RuleStale, func(h *History) {
		h.get("g1.a", "", 0, 15*second)
		h.Applications.Gets[1].Status = http.StatusNotFound
	}},
	{"a read that was sent before the put was acknowledged", "", func(h *History) { h.get("g1.a", "v1", 1, 14*second) }},
	{"a lost put at the end", RuleLost, func(h *History) {
		h.get("g1.a", "v1", 1, 15*second)
		h.Applications.Gets[1].IsFinal = true
	}},
	{"a value that was never put", RuleMixed, func(h *History) { h.get("g1.a", "x", 5, 15*second) }},
	{"a value of another key", RuleMixed, func(h *History) { h.get("g1.a", "v2", 5, 15*second) }},
	{"a value under two revisions", RuleMixed, func(h *History) { h.get("g1.a", "v3", 5, 15*second) }},
	{"a repeated put with a new revision", RuleMixed, func(h *History) {
		put := &h.Applications.Puts[2]
		put.Attempts = append(put.Attempts, PutAttempt{15 * second, 15 * second, http.StatusOK, 5})
	}},
	{"a repeated put with its revision", "", func(h *History) {
		put := &h.Applications.Puts[2]
		put.Attempts = append(put.Attempts, PutAttempt{15 * second, 15 * second, http.StatusOK, 4})
	}},
	{"a revision twice", RuleOrder, func(h *History) { h.put("g1.c", "v9", 0, 4, 14*second) }},
	{"a revision below one given before", RuleOrder, func(h *History) { h.put("g1.c", "v9", 0, 3, 16*second) }},
	{"a put over a later revision", RuleOrder, func(h *History) { h.put("g1.a", "v9", 1, 5, 16*second) }},
	{"a put over a first one", RuleOrder, func(h *History) { h.put("g1.b", "v9", 0, 5, 16*second) }},
	{"a rejected put shown", RuleRefused, func(h *History) {
		h.failPut("g1.c", "v9", http.StatusServiceUnavailable, 0)
		h.get("g1.c", "v9", 5, 16*second)
	}},
	{"an acknowledged put that is rejected when it is repeated", RuleRefused, func(h *History) {
		put := &h.Applications.Puts[2]
		put.Attempts = append(put.Attempts, PutAttempt{15 * second, 15 * second, http.StatusPreconditionFailed, 4})
	}},
	{"a put shown that was first rejected as not done", "", func(h *History) {
		put := &h.Applications.Puts[2]
		put.Attempts = append([]PutAttempt{{13 * second, 13 * second, http.StatusServiceUnavailable, 0}}, put.Attempts...)
	}},
	{"an unclear put shown", "", func(h *History) {
		h.failPut("g1.c", "v9", http.StatusGatewayTimeout, 0)
		h.get("g1.c", "v9", 5, 16*second)
	}},
	{"a 412 with a revision of the key", "", func(h *History) { h.failPut("g1.a", "v9", http.StatusPreconditionFailed, 1) }},
	{"a 412 with a revision of another key", RuleMixed, func(h *History) {
		h.failPut("g1.a", "v9", http.StatusPreconditionFailed, 2)
	}},
	{"a 412 with a revision that an unclear put may have", "", func(h *History) {
		h.failPut("g1.a", "v8", 0, 0)
		h.failPut("g1.a", "v9", http.StatusPreconditionFailed, 3)
	}},
	{"a watch that skips a put", RuleOrder, func(h *History) { h.watch(1, 4, 15*second, KeyEvent{"g1.a", "v3", 4}) }},
	{"a watch whose events fall", RuleOrder, func(h *History) {
		h.watch(1, 4, 15*second, KeyEvent{"g1.a", "v3", 4}, KeyEvent{"g1.b", "v2", 2})
	}},
	{"a watch beyond its revision", RuleOrder, func(h *History) {
		h.watch(1, 2, 14*second, KeyEvent{"g1.b", "v2", 2}, KeyEvent{"g1.a", "v3", 4})
	}},
	{"a watch that lags", RuleStale, func(h *History) { h.watch(1, 2, 15*second, KeyEvent{"g1.b", "v2", 2}) }},
	{"a watch whose revision goes back", RuleLost, func(h *History) { h.watch(4, 3, 15*second) }},
	{"the present revision lags", RuleStale, func(h *History) { h.watch(0, 2, 15*second) }},
	{"the present revision", "", func(h *History) { h.watch(0, 4, 15*second) }},
	{"a recent revision is gone", RuleLost, func(h *History) { h.watch(1, 0, 15*second).Status = http.StatusGone }},
	{"an old revision is gone", "", func(h *History) {
		call := h.watch(1, 0, 45*second)
		call.Status, call.GivenAt = http.StatusGone, 20*second
	}},
}

// Each case of the calls of applications breaks exactly the rule that it names, and an allowed case breaks none.
func TestCheck_ReportsOnlyExpectedRuleForApplications(t *testing.T) {
	assert.Empty(t, Check(withApplications()))
	for name, cases := range map[string][]historyCase{"locks": lockCases, "numbers": numberCases, "keys": keyCases} {
		t.Run(name, func(t *testing.T) { runHistoryCases(t, withApplications, cases) })
	}
}
