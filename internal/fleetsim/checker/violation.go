package checker

import (
	"fmt"

	"pumiceline/internal/fleetsim/model"
)

// Rule is the number of a rule, as in the protocol's documentation.
type Rule int

// The four rules.
const (
	RuleResponseInTime  Rule = iota + 1 // one final response in time for each request, and no attempt after it
	RuleRetrySemantics                  // retries and rejections of possibly executed requests only as allowed
	RuleDrainingServers                 // no attempt to a draining or gone server later than DrainGrace after notice
	RuleColdServers                     // no crash of a cold server from overload by all proxies together
	ruleCount           = iota
)

// Violation is one violation of a rule. Proxy, Server and ID are those of the record that showed it.
type Violation struct {
	Rule   Rule   `json:"rule"`
	At     Time   `json:"at_us"`
	Proxy  int32  `json:"proxy"`
	Server uint32 `json:"server,omitempty"`
	ID     uint64 `json:"request,omitempty"` // of the request at the proxy
	Cause  string `json:"cause"`
}

// String returns one line with all fields except the server.
func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %.6f s, proxy %d, request %d: %s", v.Rule, seconds(v.At), v.Proxy, v.ID, v.Cause)
}

// maxViolationsKept is the highest number of violations that a report lists. ViolationCounts counts all of them.
const maxViolationsKept = 50

// addViolation counts a violation and lists it in the report. The texts of the causes are part of stored results and
// must not change.
func (c *Checker) addViolation(rec *model.Record, rule Rule, format string, args ...any) {
	c.report.ViolationCounts[rule-1]++
	if len(c.report.Violations) < maxViolationsKept {
		c.report.Violations = append(c.report.Violations,
			Violation{Rule: rule, At: rec.At, Proxy: rec.Proxy, Server: rec.Server, ID: rec.ID,
				Cause: fmt.Sprintf(format, args...)})
	}
}
