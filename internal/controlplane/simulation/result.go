package simulation

import (
	"fmt"
	"strings"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// Rule is the name of an invariant that must hold in every run.
type Rule string

// The rules. Scripts read their names from pumicectl's output.
const (
	// RuleOneLeaseHolder: at most one process holds the controller lease, and fencing tokens increase.
	RuleOneLeaseHolder Rule = "ONE"
	// RuleUniqueVersion: no two changes are acknowledged under one version.
	RuleUniqueVersion Rule = "NUMBER"
	// RuleDurability: when a change is acknowledged, it is on more disks than may be lost.
	RuleDurability Rule = "COPIES"
	// RuleNotLost: an acknowledged change is in the final state.
	RuleNotLost Rule = "LOST"
	// RuleRejected: a rejected change is not in the final state.
	RuleRejected Rule = "REFUSED"
	// RuleIdempotent: an acknowledged change that is sent again is acknowledged again.
	RuleIdempotent Rule = "RESENT"
	// RuleNoNeedlessRejection: a valid change on top of the newest version is not rejected.
	RuleNoNeedlessRejection Rule = "DUTY"
	// RuleLinearHistory: each change was built on the version before it.
	RuleLinearHistory Rule = "RACE"
	// RuleReads: a read returns at least the newest version that was acknowledged before it began.
	RuleReads Rule = "READ"
	// RuleStaleness: a coordinator serves proxies no version older than maxStaleness.
	RuleStaleness Rule = "STALE"
	// RuleResponseTime: a request is answered within maxResponseTime while no machine is lost.
	RuleResponseTime Rule = "ACKS"
	// RuleRecovery: changes are committed again within recoveryBound of the last fault.
	RuleRecovery Rule = "RECOVER"
	// RuleFinalRead: the last read is answered.
	RuleFinalRead Rule = "ANSWER"
	// RuleVoters: no machine that is lost keeps a vote that a running member could have.
	RuleVoters Rule = "VOTERS"
	// RuleDrain: a proxy uses no list of backends older than drainBound.
	RuleDrain Rule = "DRAIN"
)

// Violation is a rule that was violated.
type Violation struct {
	At   time.Duration `json:"At"`
	Rule Rule          `json:"Rule"`
	Text string        `json:"Text"`
}

// String describes the violation on one line.
func (v Violation) String() string { return fmt.Sprintf("%s at %v: %s", v.Rule, v.At, v.Text) }

// Result holds the observations of a run. Its JSON keys are part of pumicectl's output.
type Result struct {
	Violations     []Violation     `json:"Violations"`
	Acknowledged   int             `json:"Acknowledged"` // changes
	Rejected       int             `json:"Refused"`      // changes
	Reads          int             `json:"Reads"`
	Views          uint64          `json:"Views"`  // number of the newest view
	Leases         int             `json:"Leases"` // number of leases that were held
	Faults         int             `json:"Faults"`
	Members        int             `json:"Members"` // number of members of the newest view
	InjectedFaults []Fault         `json:"Struck"`  // in order
	ViewChanges    []string        `json:"Moves"`   // one line each, in order
	FinalStates    []string        `json:"Ends"`    // one line for each machine
	AckLatencies   []time.Duration `json:"Waits"`   // of each acknowledged change, from its first attempt
	LongestAckGap  time.Duration   `json:"Pause"`   // between two acknowledgements in the fault phase
}

// report records a violation.
func (c *Cluster) report(rule Rule, text string) {
	c.history.violations = append(c.history.violations, Violation{At: c.now, Rule: rule, Text: text})
}

func (c *Cluster) result() *Result {
	result := &Result{
		Violations: c.history.violations, Acknowledged: len(c.history.acknowledged), Rejected: len(c.history.rejected),
		Reads: c.history.reads, Leases: c.leases.count, Faults: len(c.injected), InjectedFaults: c.injected,
		ViewChanges: c.viewChanges, AckLatencies: c.history.ackLatencies, LongestAckGap: c.history.longestAckGap,
	}
	for _, n := range c.slots {
		result.FinalStates = append(result.FinalStates, n.describe())
		if n.replica != nil {
			if view := n.replica.View(); uint64(view.Number) > result.Views {
				result.Views, result.Members = uint64(view.Number), len(view.Members)
			}
		}
	}
	return result
}

// recordViewChange adds a line for each view when the first machine enters it.
func (n *node) recordViewChange() {
	view := n.replica.View()
	if view.Number <= n.cluster.newestViewSeen {
		return
	}
	n.cluster.newestViewSeen = view.Number
	identities := func(members []message.Member) []string {
		return lo.Map(members, func(m message.Member, _ int) string {
			return strings.TrimPrefix(string(m.Identity), "seed-")
		})
	}
	line := fmt.Sprintf("    %6.2fs view %d: chain %v, voters %v", n.cluster.now.Seconds(), view.Number,
		identities(view.Members), identities(view.EffectiveVoters()))
	for _, r := range view.Replacements {
		line += fmt.Sprintf(", %s by %s", r.Old, r.New)
	}
	n.cluster.viewChanges = append(n.cluster.viewChanges, line)
}

// describe describes the machine's state on one line.
func (n *node) describe() string {
	if n.replica == nil {
		return fmt.Sprintf("place %d: node %d is dark", n.slot, n.index)
	}
	state := "outside the chain"
	switch {
	case n.replica.IsSynced():
		state = "synced"
	case n.replica.IsMember():
		state = "not synced"
	}
	view := n.replica.View()
	return fmt.Sprintf("place %d: node %d %s in view %d, serves %d, waits for %s", n.slot, n.index, state, view.Number,
		n.replica.CommittedState().Version, n.replica.WaitingFor())
}
