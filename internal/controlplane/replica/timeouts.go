package replica

import "time"

// The intervals and time-outs of the protocol. The package is ticked every 50 ms, so all are multiples of that. They are
// chosen so that a member that fails is replaced in the chain in well under two seconds.

// Failure detection: see failure_detector.go.
const (
	// monitorsPerMember is to how many members each one sends its heartbeats.
	monitorsPerMember = 3

	heartbeatInterval = 200 * time.Millisecond
	// lateTimeout is the time without a message after which a monitor reports a member late: two heartbeats are missing.
	lateTimeout = 450 * time.Millisecond
	// suspicionTimeout is the time without a message after which a monitor suspects a member: four heartbeats are missing.
	suspicionTimeout = 900 * time.Millisecond
	// unmonitoredSuspicionTimeout is the time without a message after which a member is suspected though no monitor
	// reports it. It is longer than suspicionTimeout and the delivery of a report, so it takes effect only where the
	// monitors have failed too.
	unmonitoredSuspicionTimeout = 1600 * time.Millisecond
	// reportTimeout is how long a suspicion report counts. A monitor repeats it every heartbeatInterval, so two may be lost.
	reportTimeout = 600 * time.Millisecond
	// pauseThreshold is the time between two ticks beyond which this process itself was paused: six ticks are missing.
	pauseThreshold = 300 * time.Millisecond
	// identityRetention is how long the history of a member that sends nothing any more is kept.
	identityRetention = 5 * time.Minute
)

// Joining and leaving: see join.go and next_view.go.
const (
	// joinRequestTimeout is how long a join request counts. It is repeated every heartbeatInterval, so two may be lost.
	joinRequestTimeout = 700 * time.Millisecond
	// newcomerTimeout is how long a newcomer waits for its admission where it is not certain which member it came to
	// replace. A member that failed is suspected by then.
	newcomerTimeout = 2 * suspicionTimeout
	// newcomerPeriod is how long after its first join request a machine counts as a newcomer. It is also how long a member
	// that lost its vote to a newcomer cannot receive another vote: it was probably replaced, and is about to be stopped.
	newcomerPeriod = 10 * time.Second
	// plannedReplacementLead bounds how long before its predecessor is stopped a planned replacement is started.
	plannedReplacementLead = 3 * time.Second
	// leavingPeriod bounds how long a member that was asked to stop takes until its process has ended.
	leavingPeriod = 5 * time.Second
	// withdrawalTimeout bounds the time from the last join request of a member to its admission: the request counts for
	// joinRequestTimeout, and a proposal that was started with it may need a second attempt.
	withdrawalTimeout = joinRequestTimeout + 2*proposalTimeout
	// admissionFallbackTimeout is how long the other members leave the admission of a joining member to the first proposer.
	// One that the first proposer does not hear would be removed by it again at once.
	admissionFallbackTimeout = 5 * time.Second
	// initialStartPeriod follows the first start of the system: a machine that joins in it replaces no other.
	initialStartPeriod = 2 * time.Second
	// observerInterval is how often a member that only wants to know the view asks for it, and how often the first proposer
	// announces it to those outside.
	observerInterval = 1 * time.Second
	// durableMemberTimeout is how long the first view waits for members that have a disk before it counts as diskless.
	durableMemberTimeout = 3 * time.Second
)

// View changes: see proposer.go and next_view.go.
const (
	// minViewAge is how long a view lasts at least: within two heartbeats it is known who is complete in it.
	minViewAge = 2 * heartbeatInterval
	// proposalRankDelay is how long a member waits for each one before it in the chain to propose first. It is longer than a
	// proposal takes where nothing fails, so that two members seldom compete.
	proposalRankDelay = 350 * time.Millisecond
	// disklessProposalDelay is how much longer a diskless member waits where a durable one could propose, as only a durable
	// one can remove the diskless members in the same step.
	disklessProposalDelay = 2 * time.Second
	// acceptedViewTimeout is how long an accepted view may stay undecided before another member proposes it.
	acceptedViewTimeout = 500 * time.Millisecond
	// proposalTimeout is how long a proposal may take (two round trips and two syncs) before it is started anew.
	proposalTimeout = 400 * time.Millisecond
	// incompleteChainTimeout is how long suspected members are kept in the chain while too few others are complete. Nothing
	// is acknowledged meanwhile.
	incompleteChainTimeout = 2 * time.Second
)

// Replication and reads: see chain_replication.go, config_requests.go and view_confirmation.go.
const (
	// replicateRetryInterval is how long an unacknowledged state waits before it is sent again.
	replicateRetryInterval = 150 * time.Millisecond
	// requestTimeout is the age at which a pending request is dropped: the member that relays it does not wait any more.
	requestTimeout = 1500 * time.Millisecond
	// maxPendingRequests bounds the queue at the head and the tail; relays repeat what is dropped.
	maxPendingRequests = 64

	// confirmInterval is how often a member asks the voters whether its view is the newest.
	confirmInterval = 350 * time.Millisecond
	// confirmRetryInterval is how long a voter that has not answered waits before it is asked again.
	confirmRetryInterval = 100 * time.Millisecond
	// confirmTimeout ends a confirmation that no majority answers: the relays of the requests in it ask again.
	confirmTimeout = 1500 * time.Millisecond
	// confirmLifetime is how long after a confirmation was started a member serves proxies on its strength: two intervals,
	// so one may fail.
	confirmLifetime = 800 * time.Millisecond
)

// The controller lease: see lease.go.
const (
	// leaseRenewalInterval lets a lease of two seconds survive three lost renewals.
	leaseRenewalInterval = 400 * time.Millisecond
	// candidateDelay staggers the candidates for a vacant lease: each waits this long for every member behind it in the
	// chain, so the tail is the first.
	candidateDelay = 300 * time.Millisecond
	// leaseSafetyMargin is how much earlier a lease ends for its holder than for the grantors: clocks may drift.
	leaseSafetyMargin = 100 * time.Millisecond
)
