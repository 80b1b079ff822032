package epoch

import "time"

// The intervals and time-outs of the protocol. The package is ticked every 50 ms, so all are multiples of that. A false alarm
// costs a few round trips and no correctness, so they are short.
const (
	// heartbeatInterval is how often an issuer without calls asks the acceptors to confirm its epoch.
	heartbeatInterval = 150 * time.Millisecond
	// issuerTimeout is the time without a message of the issuer after which an acceptor looks for a new one.
	issuerTimeout = 450 * time.Millisecond
	// issuerAliveTime is how long after a message of the issuer an acceptor counts it as alive when others ask.
	issuerAliveTime = 300 * time.Millisecond
	// rankDelay is how much longer each acceptor waits than the one before it. An election takes less where nothing fails, so
	// two seldom compete.
	rankDelay = 150 * time.Millisecond
	// leavingDelay is how much longer an acceptor waits that shuts down: others go on without it.
	leavingDelay = 600 * time.Millisecond
	// queryTimeout is how long an acceptor waits for the answers of the others before it asks again.
	queryTimeout = 150 * time.Millisecond
	// prepareTimeout is how long a candidate waits for promises and for the newest state before it starts anew.
	prepareTimeout = 300 * time.Millisecond
	// quorumTimeout is how long an issuer goes on without an answer of a majority before it steps down.
	quorumTimeout = 500 * time.Millisecond
	// resendInterval is how long a write waits for an acceptor's answer before it is sent again.
	resendInterval = 100 * time.Millisecond
	// idleTimeout is the time without calls after which an issuer stops its heartbeats until the next call.
	idleTimeout = 10 * time.Second
	// groupMismatchDelay is how long a difference between the voters of the view and the acceptors may last before an idle
	// member sees to it that there is an issuer.
	groupMismatchDelay = 1500 * time.Millisecond
	// smallGroupPeriod is how long after its start a member answers no calls while the group has fewer acceptors than the
	// tolerance asks for: others are joining then.
	smallGroupPeriod = 3 * time.Second
	// formerAcceptorPeriod is how long after a change of the group its former acceptors are told of it.
	formerAcceptorPeriod = 2 * time.Second
	// watchResendTimeout is how long a waiting watch is kept that its relay does not send again.
	watchResendTimeout = 1200 * time.Millisecond
)

// Bounds of what an issuer keeps in memory.
const (
	maxQueuedCalls     = 4096
	maxWaitingWatches  = 2048
	maxRecentAnswers   = 4096
	maxRecentWrites    = 256
	maxChangesPerWrite = 512
)
