package checker

import (
	"fmt"

	"pumiceline/internal/fleetsim/model"
)

// Rule is the number of a rule, as the protocol's page numbers them.
type Rule int

// The four rules.
const (
	RuleResponseInTime  Rule = iota + 1 // each request gets one final response in time, and nothing is sent for it after
	RuleRetrySemantics                  // what may have been executed is retried or rejected as its class allows
	RuleDrainingServers                 // nothing new to a draining or gone server DrainGrace after the notification
	RuleColdServers                     // all proxies together crash no cold server by overload
	ruleCount           = iota
)

// Violation is one violation of a rule. Server, Proxy and ID name what it is about, where it is about them.
type Violation struct {
	Rule   Rule   `json:"rule"`
	At     Time   `json:"at_us"`
	Proxy  int32  `json:"proxy"`
	Server uint32 `json:"server,omitempty"`
	ID     uint64 `json:"request,omitempty"` // of the request at the proxy
	Cause  string `json:"cause"`
}

// String is one line with all but the server.
func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %.6f s, proxy %d, request %d: %s", v.Rule, seconds(v.At), v.Proxy, v.ID, v.Cause)
}

// maxViolationsKept is how many violations a report holds; all are counted.
const maxViolationsKept = 50

// addViolation counts a violation. The causes are part of stored results: their words stay as they are.
func (c *Checker) addViolation(rec *model.Record, rule Rule, format string, args ...any) {
	c.report.ViolationCounts[rule-1]++
	if len(c.report.Violations) < maxViolationsKept {
		c.report.Violations = append(c.report.Violations,
			Violation{Rule: rule, At: rec.At, Proxy: rec.Proxy, Server: rec.Server, ID: rec.ID,
				Cause: fmt.Sprintf(format, args...)})
	}
}
