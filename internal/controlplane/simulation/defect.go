package simulation

import "github.com/samber/lo"

// Defect is a fault of the program. One is planted to show that a check finds it: a check that cannot fail checks nothing.
type Defect int

// The defects that can be planted.
const (
	NoDefect                Defect = iota
	AcknowledgeUnsynced            // messages that have to wait for a sync are sent before it
	KeepIdentityOnDiskLoss         // a member whose disk was lost comes back under its old identity, and votes
	ReadUnconfirmed                // the tail answers reads without the confirmation of a majority
	TakeRejectionAsGrant           // a rejected lease counts as granted
	RejectUnconfirmed              // the head rejects changes without the confirmation of a majority
	DecideByMinority               // one vote is enough for a view
	AcknowledgeWithoutChain        // the head acknowledges changes without the rest of the chain
	IgnoreLeaseExpiry              // a lease holder acts on after its lease
	ServeWithoutMajority           // a coordinator serves proxies without the confirmation of a majority
	RepeatIncarnation              // every process of a machine numbers its proposals and requests from the same start
	AnswerAnyRequest               // a response is given to whichever request waits
	ForgetFencingTokens            // a restarted member has forgotten the fencing tokens that it granted
	ClaimComplete                  // a restarted member takes its state for complete
	ForgetGrants                   // a grantor forgets its grant as soon as it has given it
	IgnoreBase                     // a change is committed whatever version it builds on
	ForgetChanges                  // the head knows no change that was committed earlier
	RejectPipelinedChange          // a change on top of one that is in progress is rejected
	defectCount
)

var defectNames = map[Defect]string{
	AcknowledgeUnsynced: "acknowledge before the sync", KeepIdentityOnDiskLoss: "vote with a lost disk",
	ReadUnconfirmed: "read without a majority", TakeRejectionAsGrant: "take a rejected lease as granted",
	RejectUnconfirmed: "reject without a majority", DecideByMinority: "decide on a view by a minority",
	AcknowledgeWithoutChain: "acknowledge without the chain", IgnoreLeaseExpiry: "ignore the end of a lease",
	ServeWithoutMajority: "serve proxies without a majority", RepeatIncarnation: "repeat the incarnation",
	AnswerAnyRequest: "answer any request", ForgetFencingTokens: "forget fencing tokens",
	ClaimComplete: "claim to be complete", ForgetGrants: "forget grants", IgnoreBase: "ignore the base of a change",
	ForgetChanges: "forget changes", RejectPipelinedChange: "reject a pipelined change",
}

// String is the name of the defect.
func (d Defect) String() string { return defectNames[d] }

// Defects returns all that can be planted.
func Defects() []Defect {
	return lo.Map(lo.Range(int(defectCount)-1), func(i, _ int) Defect { return Defect(i + 1) })
}

// needsBeyondTolerance reports whether the defect shows only, or soonest, where losses exceed the tolerance.
func (d Defect) needsBeyondTolerance() bool {
	switch d {
	case ReadUnconfirmed, RejectUnconfirmed, DecideByMinority, ServeWithoutMajority, ClaimComplete:
		return true
	}
	return false
}
