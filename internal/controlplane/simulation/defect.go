package simulation

import "github.com/samber/lo"

// Defect is a bug that a run plants to prove that a check detects it: a check that cannot fail checks nothing.
type Defect int

// The defects that can be planted.
const (
	NoDefect                Defect = iota
	AcknowledgeUnsynced            // messages that have to wait for a sync are sent before it
	KeepIdentityOnDiskLoss         // a member that lost its disk keeps its old identity and goes on voting
	ReadUnconfirmed                // the tail answers reads without the confirmation of a majority
	TakeRejectionAsGrant           // a rejected lease counts as granted
	RejectUnconfirmed              // the head rejects changes without the confirmation of a majority
	DecideByMinority               // one vote is enough for a view
	AcknowledgeWithoutChain        // the head acknowledges changes without the rest of the chain
	IgnoreLeaseExpiry              // a lease holder goes on acting after its lease has expired
	ServeWithoutMajority           // a coordinator serves proxies without the confirmation of a majority
	RepeatIncarnation              // all processes of a machine number proposals and requests from the same start
	AnswerAnyRequest               // a response is delivered to every request that waits at its relay
	LoseFencingTokens              // a restarted member has lost the last fencing token that it granted
	ClaimComplete                  // a restarted member regards its incomplete state as complete
	LoseGrants                     // a grantor drops its grant as soon as it has given it
	IgnoreBase                     // a change is committed whichever version it builds on
	LoseChanges                    // the head has no record of the changes committed before
	KeepOldList                    // who has an old list of backends asks nobody else for a newer one
	RejectPipelinedChange          // a change on top of one in progress is rejected instead of being left undecided
	defectCount
)

var defectNames = map[Defect]string{
	AcknowledgeUnsynced: "acknowledge before the sync", KeepIdentityOnDiskLoss: "vote with a lost disk",
	ReadUnconfirmed: "read without a majority", TakeRejectionAsGrant: "take a rejected lease as granted",
	RejectUnconfirmed: "reject without a majority", DecideByMinority: "decide on a view by a minority",
	AcknowledgeWithoutChain: "acknowledge without the chain", IgnoreLeaseExpiry: "ignore the end of a lease",
	ServeWithoutMajority: "serve proxies without a majority", RepeatIncarnation: "repeat the incarnation",
	AnswerAnyRequest: "answer any request", LoseFencingTokens: "forget fencing tokens",
	ClaimComplete: "claim to be complete", LoseGrants: "forget grants", IgnoreBase: "ignore the base of a change",
	LoseChanges: "forget changes", KeepOldList: "keep an old list", RejectPipelinedChange: "reject a pipelined change",
}

// String returns the name of the defect.
func (d Defect) String() string { return defectNames[d] }

// Defects returns all defects that can be planted.
func Defects() []Defect {
	return lo.Map(lo.Range(int(defectCount)-1), func(i, _ int) Defect { return Defect(i + 1) })
}

// needsBeyondTolerance reports whether the defect shows only, or soonest, when losses exceed the tolerance.
func (d Defect) needsBeyondTolerance() bool {
	switch d {
	case ReadUnconfirmed, RejectUnconfirmed, DecideByMinority, ServeWithoutMajority, ClaimComplete:
		return true
	}
	return false
}
