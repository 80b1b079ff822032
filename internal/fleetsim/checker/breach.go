package checker

import (
	"fmt"

	"pumiceline/internal/fleetsim/model"
)

// Breach is one break of a rule. Server, Proxy and ID name what it is about, where it is about them.
type Breach struct {
	Rule   int    `json:"rule"`
	At     Time   `json:"at_us"`
	Proxy  int32  `json:"proxy"`
	Server uint32 `json:"server,omitempty"`
	ID     uint64 `json:"request,omitempty"`
	Cause  string `json:"cause"`
}

func (b Breach) String() string {
	return fmt.Sprintf("rule %d at %.6f s, proxy %d, request %d: %s", b.Rule, float64(b.At)/1e6, b.Proxy, b.ID, b.Cause)
}

// mostKept breaches are kept whole; all are counted.
const mostKept = 50

func (r *Referee) breach(rec *model.Record, rule int, format string, args ...any) {
	r.rep.Broken[rule-1]++
	if len(r.rep.Breaches) < mostKept {
		r.rep.Breaches = append(r.rep.Breaches, Breach{Rule: rule, At: rec.At, Proxy: rec.Proxy, Server: rec.Server, ID: rec.ID,
			Cause: fmt.Sprintf(format, args...)})
	}
}
