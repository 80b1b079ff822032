package coordinationsim

import "github.com/samber/lo"

// Defect is a fault of the program. One is planted to show that a check finds it: a check that cannot fail checks nothing.
// Defects are planted around the member: in the messages that it receives and sends, and in what it stores and finds.
type Defect int

// The defects that can be planted.
const (
	NoDefect               Defect = iota
	AnswerBeforeMajority          // the issuer takes each write as accepted by all at once
	ForgetPromise                 // a restarted acceptor has forgotten its promise; it restarts after each
	AcknowledgeUnsynced           // messages that have to wait for a sync are sent before it
	DecideByMinority              // one acceptance or promise of another acceptor counts as those of all
	ForgetTokens                  // a restarted member has forgotten the fencing tokens
	ForgetNumbers                 // a restarted member has forgotten the numbers that it gave
	ExpireEarly                   // a hold ends at half of its time
	IgnoreHolds                   // a new issuer does not take over the holds of others
	SkipEvent                     // a watch loses an event
	InventRevision                // a 412 names a revision that was never given
	ShowRejected                  // a put that took effect is answered 412
	ReadUnconfirmed               // the issuer answers reads without asking a majority
	CountNewcomer                 // an acceptor without the state accepts writes as if it had it
	ReleaseByOldToken             // a release with an old token ends a newer hold
	KeepIdentityOnDiskLoss        // a member whose disk was lost comes back under its old identity, and accepts
	TimeoutAsNothingDone          // a relay answers 503 where it does not know what was done
	ForgetHistory                 // a restarted member has forgotten the events
	RepeatPut                     // a repeated put is answered with another revision
	defectCount
)

var defectNames = map[Defect]string{
	AnswerBeforeMajority: "answer before the majority", ForgetPromise: "forget the promise",
	AcknowledgeUnsynced: "acknowledge before the sync", DecideByMinority: "decide by a minority",
	ForgetTokens: "forget fencing tokens", ForgetNumbers: "forget numbers", ExpireEarly: "end holds early",
	IgnoreHolds: "ignore holds", SkipEvent: "skip an event", InventRevision: "invent a revision",
	ShowRejected: "show a rejected put", ReadUnconfirmed: "read without a majority",
	CountNewcomer: "count a newcomer", ReleaseByOldToken: "release by an old token",
	KeepIdentityOnDiskLoss: "accept with a lost disk", TimeoutAsNothingDone: "answer 503 after a time-out",
	ForgetHistory: "forget events", RepeatPut: "answer a repeated put with another revision",
}

// String is the name of the defect.
func (d Defect) String() string { return defectNames[d] }

// Defects returns all that can be planted.
func Defects() []Defect {
	return lo.Map(lo.Range(int(defectCount)-1), func(i, _ int) Defect { return Defect(i + 1) })
}
