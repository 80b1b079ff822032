package epoch

import "time"

// Intervals and time-outs of the protocol. The caller calls Tick every 50 ms, so all are multiples of 50 ms. They are
// short because an unnecessary election costs only a few round trips and does not affect correctness.
const (
	// heartbeatInterval is how often an issuer without calls asks the acceptors to confirm its epoch.
	heartbeatInterval = 150 * time.Millisecond
	// issuerTimeout is the time without a message of the issuer after which an acceptor starts a candidacy.
	issuerTimeout = 450 * time.Millisecond
	// issuerAliveTime is how long after a write of the issuer an acceptor reports to candidates that it has an issuer.
	issuerAliveTime = 300 * time.Millisecond
	// rankDelay is how much longer each acceptor waits than the one before it in the order. Without failures an election
	// takes less than rankDelay, so two candidates rarely compete.
	rankDelay = 150 * time.Millisecond
	// leavingDelay is the additional time that an acceptor waits while it shuts down, so that another one becomes the
	// issuer.
	leavingDelay = 600 * time.Millisecond
	// queryTimeout is how long a candidate waits for the answers to its query. A candidacy that failed is repeated after
	// the same time at the earliest.
	queryTimeout = 150 * time.Millisecond
	// prepareTimeout is how long a candidate waits for promises and for the newest state before it starts over.
	prepareTimeout = 300 * time.Millisecond
	// quorumTimeout is how long an issuer waits for a majority to accept a round before it steps down.
	quorumTimeout = 500 * time.Millisecond
	// resendInterval is how long a write waits for an acceptor's answer before it is sent again.
	resendInterval = 100 * time.Millisecond
	// idleTimeout is the time without calls after which an issuer stops its heartbeats until the next call.
	idleTimeout = 10 * time.Second
	// groupMismatchDelay is how long the voters of the view may differ from the acceptors before an idle acceptor expects
	// heartbeats again, so that an issuer is elected to change the group.
	groupMismatchDelay = 1500 * time.Millisecond
	// smallGroupPeriod is how long after its start a member decides no calls if the group has fewer acceptors than the
	// tolerance requires, as others may still be joining.
	smallGroupPeriod = 3 * time.Second
	// formerAcceptorPeriod is how long after a change of the group the issuer still sends rounds to the former acceptors,
	// so that they learn of the change.
	formerAcceptorPeriod = 2 * time.Second
	// watchResendTimeout is how long a waiting watch is kept after its relay last sent it.
	watchResendTimeout = 1200 * time.Millisecond
)

// Bounds of the calls, answers and writes that an issuer keeps in memory, and of the changes in one write.
const (
	maxQueuedCalls     = 4096
	maxWaitingWatches  = 2048
	maxRecentAnswers   = 4096
	maxRecentWrites    = 256
	maxChangesPerWrite = 512
)
