package coordinationsim

import "github.com/samber/lo"

// Defect is a bug that a run plants to prove that a check detects it: a check that cannot fail checks nothing. Defects
// are planted around the member: in the messages that it receives and sends, in the state that it loads when it starts,
// and in the answers that its relay passes on.
type Defect int

// The defects that can be planted.
const (
	NoDefect               Defect = iota
	AnswerBeforeMajority          // the issuer counts each write as accepted by all at once
	LosePromise                   // a restarted acceptor has lost its promise; it restarts after each
	AcknowledgeUnsynced           // messages that have to wait for a sync are sent before it
	DecideByMinority              // one acceptance or promise of another acceptor counts as given by all
	LoseTokens                    // a restarted member has lost the holds and the last fencing token
	LoseNumbers                   // a restarted member has lost the numbers that it gave
	ExpireEarly                   // a hold ends after half of its time
	IgnoreHolds                   // a new issuer does not take over existing holds
	SkipEvent                     // a watch loses an event
	InventRevision                // a 412 names a revision that was never given
	RejectAppliedPut              // a put that took effect is answered 412
	ReadUnconfirmed               // the issuer answers reads without asking a majority
	AcceptWithoutState            // a member that started with an empty disk accepts writes without applying them
	ReleaseByOldToken             // a release with an old token ends a newer hold
	KeepIdentityOnDiskLoss        // a member that lost its disk keeps its old identity and goes on as an acceptor
	TimeoutAsNothingDone          // a relay answers 503 where the call may have taken effect
	LoseHistory                   // a restarted member has lost the events
	RepeatPut                     // a put is sometimes answered with the revision above its own
	defectCount
)

var defectNames = map[Defect]string{
	AnswerBeforeMajority: "answer before the majority", LosePromise: "forget the promise",
	AcknowledgeUnsynced: "acknowledge before the sync", DecideByMinority: "decide by a minority",
	LoseTokens: "forget fencing tokens", LoseNumbers: "forget numbers", ExpireEarly: "end holds early",
	IgnoreHolds: "ignore holds", SkipEvent: "skip an event", InventRevision: "invent a revision",
	RejectAppliedPut: "show a rejected put", ReadUnconfirmed: "read without a majority",
	AcceptWithoutState: "count a newcomer", ReleaseByOldToken: "release by an old token",
	KeepIdentityOnDiskLoss: "accept with a lost disk", TimeoutAsNothingDone: "answer 503 after a time-out",
	LoseHistory: "forget events", RepeatPut: "answer a repeated put with another revision",
}

// String returns the name of the defect.
func (d Defect) String() string { return defectNames[d] }

// Defects returns all defects that can be planted.
func Defects() []Defect {
	return lo.Map(lo.Range(int(defectCount)-1), func(i, _ int) Defect { return Defect(i + 1) })
}
