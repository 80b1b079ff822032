package coordinationsim

import (
	"fmt"
	"time"

	"pumiceline/internal/controlplane/epoch"
)

// Rule is the name of an invariant that must hold in every run. ONE to LOST are also documented for operators.
type Rule string

// The rules. Scripts read their names from pumicectl's output.
const (
	// RuleOneHolder: no two callers regard themselves as holder of a lock at the same time, and fencing tokens
	// increase.
	RuleOneHolder Rule = "ONE"
	// RuleOrder: numbers and revisions are given once and rise, puts succeed only on the revision that they name, and
	// events of watches come in rising order without gaps.
	RuleOrder Rule = "ORDER"
	// RuleStale: a read returns no revision older than one acknowledged before it was sent.
	RuleStale Rule = "STALE"
	// RuleMixed: each shown value was put to that key and has one revision, and a 412 names a revision of the key.
	RuleMixed Rule = "MIXED"
	// RuleRefused: a put that was rejected is never shown.
	RuleRefused Rule = "REFUSED"
	// RuleLost: acknowledged changes, and events that watches may still ask for, survive all faults.
	RuleLost Rule = "LOST"
	// RuleRecovery: a call is answered within recoveryBound after the end of all faults.
	RuleRecovery Rule = "RECOVER"
	// RuleLinearizable: the calls on each key are linearizable (Herlihy and Wing 1990).
	RuleLinearizable Rule = "LINEAR"
)

// Violation is a rule that was violated.
type Violation struct {
	At      time.Duration `json:"At"`
	Rule    Rule          `json:"Rule"`
	Subject string        `json:"Subject"` // the lock, counter, key or group
	Text    string        `json:"Text"`
}

// String describes the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.4fs: %s: %s", v.Rule, v.At.Seconds(), v.Subject, v.Text)
}

// Result holds the observations of a run. Its JSON keys are part of pumicectl's output.
type Result struct {
	Violations     []Violation     `json:"Violations"`
	Calls          int             `json:"Calls"`    // each over its own connection
	Answered       int             `json:"Answered"` // with a status that says what was done
	Unclear        int             `json:"Unclear"`
	Grants         int             `json:"Grants"`  // of locks
	Numbers        int             `json:"Numbers"` // that were given
	Puts           int             `json:"Puts"`    // acknowledged
	Events         int             `json:"Events"`  // that watches reported
	Issuers        int             `json:"Issuers"` // issuer terms
	InjectedFaults []Fault         `json:"Faults"`
	Latencies      []time.Duration `json:"-"`            // of answered calls
	LongestGap     time.Duration   `json:"LongestGap"`   // without an answered call, after the first fault
	LateRefusals   int             `json:"LateRefusals"` // answers 409 later than freeTime after the end of all holds
	LostHolds      int             `json:"LostHolds"`    // renewals answered 409 before the holder's time was over
}

// observations are recorded during a run for its result and its trace.
type observations struct {
	violations  []Violation
	notes       []note
	writes      []writeNote
	exchanges   []*exchange
	issuerTerms int
	answered    int
	unclear     int
	lastAnswer  time.Duration
	longestGap  time.Duration
	lateRefusal int
	lostHolds   int
}

// note is a line of the trace.
type note struct {
	at   time.Duration
	text string
}

// writeNote is a line of the trace about a lock, key or group.
type writeNote struct {
	subject string
	note
}

// report records a violation.
func (c *Cluster) report(rule Rule, subject, format string, arguments ...any) {
	c.log.violations = append(c.log.violations,
		Violation{At: c.now, Rule: rule, Subject: subject, Text: fmt.Sprintf(format, arguments...)})
}

func (c *Cluster) result() *Result {
	log := &c.log
	result := &Result{
		Violations: log.violations, Calls: len(log.exchanges), Answered: log.answered, Unclear: log.unclear,
		Grants: c.locks.grants, Numbers: c.numbers.given, Puts: c.keys.acknowledged, Events: c.keys.eventsSeen,
		Issuers: log.issuerTerms, InjectedFaults: c.injected, LongestGap: log.longestGap, LateRefusals: log.lateRefusal,
		LostHolds: log.lostHolds,
	}
	for _, x := range log.exchanges {
		if x.isClear() && x.call.WaitMs == 0 {
			result.Latencies = append(result.Latencies, x.endedAt-x.sentAt)
		}
	}
	return result
}

// recordIssuer records that a process has become the issuer.
func (c *Cluster) recordIssuer(n *node, status epoch.Status) {
	c.log.issuerTerms++
	c.locks.takeoverAt = c.now
	c.note("%s issues in epoch %d at %v, group %d %v", n.identity, status.Promised.Counter, status.Position,
		status.Group.Number, identitiesOf(status.Group.Acceptors))
}

// recordAnswer counts an ended call for the result.
func (c *Cluster) recordAnswer(x *exchange) {
	switch {
	case !x.isClear():
		c.log.unclear++
		return
	case x.status == statusUnavailable || x.call.WaitMs > 0:
		return
	}
	c.log.answered++
	if len(c.injected) > 0 && !c.isStopping && c.log.lastAnswer > 0 {
		c.log.longestGap = max(c.log.longestGap, c.now-c.log.lastAnswer)
	}
	c.log.lastAnswer = c.now
}

// checkRecovery checks RuleRecovery when recoveryBound is over.
func (c *Cluster) checkRecovery() {
	if c.log.lastAnswer < c.options.FaultPhase {
		c.report(RuleRecovery, "cluster", "the last answer is of %.3fs", c.log.lastAnswer.Seconds())
	}
}
