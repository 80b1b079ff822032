package replica

import "time"

// The intervals and time-outs of the protocol. A replica is ticked every 50 ms, so all of them are multiples of that.
// They are chosen so that a failed member is removed from the chain in well under two seconds.

// Failure detection: see failure_detector.go.
const (
	// monitorsPerMember is the number of members to which each member sends its heartbeats.
	monitorsPerMember = 3

	heartbeatInterval = 200 * time.Millisecond
	// lateTimeout is the time without a message after which a monitor reports a member late: two heartbeats are missing.
	lateTimeout = 450 * time.Millisecond
	// suspicionTimeout is the time without a message after which a monitor suspects a member: four heartbeats are missing.
	suspicionTimeout = 900 * time.Millisecond
	// unmonitoredSuspicionTimeout is the time without a message after which a member is suspected although no monitor
	// reports it. It is longer than suspicionTimeout and the delivery of a report, so it takes effect only if the
	// monitors have failed too.
	unmonitoredSuspicionTimeout = 1600 * time.Millisecond
	// reportTimeout is how long a report is valid. A monitor repeats it every heartbeatInterval, so two may be lost.
	reportTimeout = 600 * time.Millisecond
	// pauseThreshold is the time without a tick or message after which this process counts as paused: six ticks are
	// missing.
	pauseThreshold = 300 * time.Millisecond
	// identityRetention is how long the history of a member is kept after its last message.
	identityRetention = 5 * time.Minute
)

// Joining and leaving: see join.go and next_view.go.
const (
	// joinRequestTimeout is how long a join request is valid. It is repeated every heartbeatInterval, so two may be lost.
	joinRequestTimeout = 700 * time.Millisecond
	// newcomerTimeout is how long a newcomer waits for admission if it is uncertain which member it replaces. A failed
	// member is suspected by then.
	newcomerTimeout = 2 * suspicionTimeout
	// leavingPeriod bounds the time from the request to stop a member to the end of its process.
	leavingPeriod = 5 * time.Second
	// withdrawalTimeout bounds the time from the last join request of a machine to its admission: the request is valid for
	// joinRequestTimeout, and a proposal based on it may need a second attempt.
	withdrawalTimeout = joinRequestTimeout + 2*proposalTimeout
	// admissionFallbackTimeout is how long the other members leave the admission of a machine to the first proposer. A
	// machine whose messages do not reach the first proposer would be removed by it again at once.
	admissionFallbackTimeout = 5 * time.Second
	// initialStartPeriod is the time after the first start of the system during which joining machines replace no others.
	initialStartPeriod = 2 * time.Second
	// observerInterval is how often a diskless machine that cannot join asks for the view, and how often the first
	// proposer announces the view outside the chain.
	observerInterval = 1 * time.Second
	// durableMemberTimeout is how long the first view waits for members with a disk before the system counts as diskless.
	durableMemberTimeout = 3 * time.Second
)

// View changes: see proposer.go and next_view.go.
const (
	// minViewAge is the minimum duration of a view: after two heartbeats the proposer knows which members are complete.
	minViewAge = 2 * heartbeatInterval
	// proposalRankDelay is how long a member waits for each proposer before it in the chain. It is longer than a proposal
	// without failures takes, so two proposers seldom compete.
	proposalRankDelay = 350 * time.Millisecond
	// disklessProposalDelay is the additional delay of a diskless member if a durable one may propose, as only a durable
	// proposer can remove the diskless members in the same view change.
	disklessProposalDelay = 2 * time.Second
	// acceptedViewTimeout is how long an accepted view may stay undecided before another member proposes it.
	acceptedViewTimeout = 500 * time.Millisecond
	// proposalTimeout is how long a proposal may take (two round trips and two syncs) before a new attempt.
	proposalTimeout = 400 * time.Millisecond
	// incompleteChainTimeout is how long suspected members are kept in the chain while too few others are complete.
	// Nothing is acknowledged during that time.
	incompleteChainTimeout = 2 * time.Second
)

// Replication and reads: see chain_replication.go, config_requests.go and view_confirmation.go.
const (
	// replicateRetryInterval is the time after which an unacknowledged state is sent again.
	replicateRetryInterval = 150 * time.Millisecond
	// requestTimeout is the age at which a pending request is dropped: its relay no longer waits for it.
	requestTimeout = 1500 * time.Millisecond
	// maxPendingRequests bounds the queue at the head and the tail. Relays repeat dropped requests.
	maxPendingRequests = 64

	// confirmInterval is how often a member asks the voters whether its view is the newest.
	confirmInterval = 350 * time.Millisecond
	// confirmRetryInterval is the time after which a voter that has not answered is asked again.
	confirmRetryInterval = 100 * time.Millisecond
	// confirmTimeout ends a confirmation without a majority. The relays repeat the requests that depended on it.
	confirmTimeout = 1500 * time.Millisecond
	// confirmLifetime is how long a confirmation allows a member to serve proxies, counted from its start. It is longer
	// than two intervals, so one confirmation may fail.
	confirmLifetime = 800 * time.Millisecond
)

// The controller lease: see lease.go.
const (
	// leaseRenewalInterval is the time between two renewals: a lease of two seconds survives three lost renewals.
	leaseRenewalInterval = 400 * time.Millisecond
	// candidateDelay staggers the candidates for a vacant lease: each waits this long for every member after it in the
	// chain, so the tail is the first candidate.
	candidateDelay = 300 * time.Millisecond
	// leaseSafetyMargin is how much earlier a lease expires for its holder than for the grantors, because clocks may
	// drift.
	leaseSafetyMargin = 100 * time.Millisecond
)
