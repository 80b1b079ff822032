package balancer

import "time"

// Weights (gRFC A58), derived from the proxy's own traffic.
const (
	// errorUtilizationPenalty is A58's error_utilization_penalty, at its default: the share of errors is multiplied
	// by it and added to utilization.
	errorUtilizationPenalty = 1.0
	// blackoutPeriod is A58's blackout_period, at its default: a backend has the mean weight for this time after its
	// first completion.
	blackoutPeriod = 10 * time.Second
	// weightExpiration is A58's weight_expiration_period: the weight is dropped when no attempt has succeeded or failed
	// for this time. A58's default is 180 s.
	weightExpiration = 60 * time.Second
	// statsTimeConstant is the time constant of the exponential decay of completions, busy time and errors.
	statsTimeConstant = 15 * time.Second
	// minCompletions is the decayed number of completions below which the mean weight is used.
	minCompletions = 4.0
	// minWeight is a lower bound on every weight. A pick moves the backend's deadline by 1/weight, so a backend of
	// weight 0 would never be picked again, and its weight would never recover.
	minWeight = 1e-3
)

// Slow start (gRFC A100) of backends, and of models that a backend has just loaded.
const (
	// slowStartWindow is A100's slow_start_window: the time in which the weight rises to its full value.
	slowStartWindow = 2 * time.Second
	// slowStartAggression is A100's aggression, at its default: 1 is a linear rise, a higher value is steeper at the
	// beginning.
	slowStartAggression = 1.0
	// slowStartFloor is A100's min_weight_percent, as a share, at its default.
	slowStartFloor = 0.10
)

// Picking a backend.
const (
	// pickWindow is how many of the backends with the earliest deadlines are compared by cost if the peers' loads are
	// not fresh.
	pickWindow = 4
	// peerLoadLifetime is how long the peers' loads count as fresh. It is shorter than a prefill.
	peerLoadLifetime = 50 * time.Millisecond
	// loadReportLifetime is how long a current load takes precedence over the polled totals, which are older. Such a
	// load comes from the backend's own report or from a query of the peers. The queried one takes precedence over
	// the backend's.
	loadReportLifetime = 600 * time.Millisecond
	// inFlightCostMs is the cost of one request in flight, in milliseconds of queued prefill.
	inFlightCostMs = 4.0
	// dialCostMs is the extra cost of a backend without an idle connection, in milliseconds of queued prefill.
	dialCostMs = 60.0
	// maxCacheUtilization is the share of a backend's KV cache that requests may reserve.
	maxCacheUtilization = 0.9
	// maxPrefillWaitShare is the share of a client's time-out that the prefill queued at the backend, including the
	// request's own, may take. It does not apply if no other prefill is queued there.
	maxPrefillWaitShare = 0.6
)

// Ejection: for how long a backend is not picked.
const (
	// overloadEjection follows a rejection by the backend (Not-Run).
	overloadEjection = 150 * time.Millisecond
	// missingModelEjection follows a 421: the backend lacks the model. Other models are still sent there.
	missingModelEjection = 1500 * time.Millisecond
	// drainingLifetime is how long a backend that was listed as draining gets no requests after a list that shows it as
	// ready. It must be longer than the platform's list lags.
	drainingLifetime = 3 * time.Second
	// initialConnectBackoff follows the first failure to connect. Each further failure doubles the backoff.
	initialConnectBackoff = 500 * time.Millisecond
	// maxConnectBackoff bounds the backoff of an unreachable backend.
	maxConnectBackoff = 4 * time.Second
)

// Queueing and rejecting.
const (
	// maxQueued bounds the queue. While it is full, a request that would have to wait is rejected.
	maxQueued = 512
	// capacityWaitShare is the share of the latency target that a request waits for capacity.
	capacityWaitShare = 0.25
	// placementWaitShare is the share of the latency target during which a request without a loaded model is assumed to
	// get it by a warm load; see expectedReadyAt.
	placementWaitShare = 0.2
	// minServiceTime is the minimum time from the end of a model's load to the first event of a response.
	minServiceTime = 300 * time.Millisecond

	// queueFullRetryAfter is the Retry-After of a request that is rejected because the queue is full.
	queueFullRetryAfter = time.Second
	// rejectedRetryAfter is the Retry-After of most rejections.
	rejectedRetryAfter = 400 * time.Millisecond
	// drainingRetryAfter is the Retry-After of a draining proxy. It is short because other proxies can accept the
	// request at once.
	drainingRetryAfter = 50 * time.Millisecond
)

// Estimates of when a model is loaded.
const (
	// adapterLoadTime is the time to load an adapter whose base model is loaded.
	adapterLoadTime = 500 * time.Millisecond
	// warmLoadTime is the time to load a model from a backend's own disk.
	warmLoadTime = 1500 * time.Millisecond
	// loadPropagation is the maximum time from the end of a load until the proxies are informed of it.
	loadPropagation = 2 * time.Second
	// unknownLoadTime is the assumed time to load a model that the configuration does not name.
	unknownLoadTime = 12 * time.Second
)

// Estimates of prefill times.
const (
	// defaultPrefillRate is the assumed time per prompt token, in milliseconds, until one is observed.
	defaultPrefillRate = 0.05
	// minPrefillRate is the minimum time per prompt token, in milliseconds.
	minPrefillRate = 0.002
	// rateStepUp and rateStepDown are the relative steps of the estimate after a slower and a faster observation. They
	// are q*step and (1-q)*step with q = 1/6 and step = 0.12, so the estimate tracks the 1/6 quantile.
	rateStepUp   = 0.02
	rateStepDown = 0.10
	// firstEventOverheadMs is the time until the first event of the shortest prompt, including the network, in
	// milliseconds.
	firstEventOverheadMs = 35.0
	// minObservedPrompt is the minimum length in tokens of an observed prompt. The time to the first event of
	// a shorter prompt says little about the rate.
	minObservedPrompt = 200
)

// Retry budget.
const (
	// ratioMargin and allowanceMargin are the shares of the ratio and the allowance that are used. These safety margins
	// are needed because the window slides and the number of proxies changes.
	ratioMargin     = 0.7
	allowanceMargin = 0.7
	// reservedRetryShare is the share of the retries that each proxy may make without a report of the others'.
	reservedRetryShare = 0.5
	// retryReportDelay is the longest time until a proxy's report is part of the totals that other proxies have: a poll
	// of the proxy, one of its coordinator at the lease holder, and the same ways back.
	retryReportDelay = 2 * time.Second
	// retryTotalsLifetime is how long the totals of all proxies are used.
	retryTotalsLifetime = time.Second
)
