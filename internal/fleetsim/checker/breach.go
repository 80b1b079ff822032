package checker

import (
	"fmt"

	"pumiceline/internal/fleetsim/model"
)

// Violation is one break of a rule. Server, Proxy and ID name what it is about, where it is about them.
type Violation struct {
	Rule   int    `json:"rule"`
	At     Time   `json:"at_us"`
	Proxy  int32  `json:"proxy"`
	Server uint32 `json:"server,omitempty"`
	ID     uint64 `json:"request,omitempty"`
	Cause  string `json:"cause"`
}

func (b Violation) String() string {
	return fmt.Sprintf("rule %d at %.6f s, proxy %d, request %d: %s", b.Rule, float64(b.At)/1e6, b.Proxy, b.ID, b.Cause)
}

// maxViolationsKept breaches are kept whole; all are counted.
const maxViolationsKept = 50

func (r *Checker) addViolation(rec *model.Record, rule int, format string, args ...any) {
	r.report.ViolationCounts[rule-1]++
	if len(r.report.Violations) < maxViolationsKept {
		r.report.Violations = append(r.report.Violations, Violation{Rule: rule, At: rec.At, Proxy: rec.Proxy, Server: rec.Server, ID: rec.ID,
			Cause: fmt.Sprintf(format, args...)})
	}
}
