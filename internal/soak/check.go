package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule is the name of a rule of the operators' documentation.
type Rule string

// The rules that are checked. RuleProcess and RuleMemory cover the faults of processes in that documentation.
const (
	RuleLost        Rule = "LOST"
	RuleOne         Rule = "ONE"
	RuleStale       Rule = "STALE"
	RuleMixed       Rule = "MIXED"
	RuleOrder       Rule = "ORDER"
	RuleTwice       Rule = "TWICE"
	RuleUnasked     Rule = "UNASKED"
	RuleRefused     Rule = "REFUSED"
	RuleDenied      Rule = "DENIED"
	RuleConfig      Rule = "CONFIG"
	RuleAcknowledge Rule = "ACKS"
	RuleRecover     Rule = "RECOVER"
	RuleProcess     Rule = "PROCESS"
	RuleMemory      Rule = "MEMORY"
	RuleDrain       Rule = "DRAIN"
)

// Violation is one breach of a rule.
type Violation struct {
	Rule Rule   `json:"rule"`
	At   Moment `json:"at"` // nanoseconds since the start of the run
	Text string `json:"text"`
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3fs: %s", v.Rule, v.At.Seconds(), v.Text)
}

// violations collects the violations that a checker finds.
type violations []Violation

func (v *violations) add(rule Rule, at Moment, format string, args ...any) {
	*v = append(*v, Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...)})
}

// checkers are the checks of the rules. Each one reads the history independently of the others.
var checkers = []func(h *History, t *timeline) violations{
	checkLost, checkResponses, checkExecutions, checkDenied,
	checkSettled, checkReads, checkRejectedChanges, checkAcknowledgements, checkAnswersAmidLosses, checkApplied, checkRegress,
	checkDrains, checkEnds, checkMemory, checkRecovery,
	checkHolds, checkTokens, checkNumbers, checkKeys, checkWatches, checkLate,
}

// Check returns the violations in a history, in the order of their times.
func Check(h *History) []Violation {
	slices.SortStableFunc(h.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	h.Changes = slices.DeleteFunc(h.Changes, func(c Change) bool { return len(c.Attempts) == 0 }) // drops unsent changes
	t := newTimeline(h)
	var found violations
	for _, check := range checkers {
		found = append(found, check(h, t)...)
	}
	slices.SortStableFunc(found, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return found
}

// moment converts a time of a fake backend.
func (h *History) moment(at time.Time) Moment { return at.Sub(h.Epoch) }
