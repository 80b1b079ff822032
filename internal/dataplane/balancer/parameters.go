package balancer

import "time"

// Weights (gRFC A58), derived from the proxy's own traffic.
const (
	// errorUtilizationPenalty is A58's error_utilization_penalty, at its default: the factor by which the share of
	// errors is added to utilization.
	errorUtilizationPenalty = 1.0
	// blackoutPeriod is A58's blackout_period, at its default: a backend has the mean weight until this time after its
	// first completion.
	blackoutPeriod = 10 * time.Second
	// weightExpiration is A58's weight_expiration_period: the weight is dropped when no attempt has succeeded or failed
	// for this time. A58's default is 180 s.
	weightExpiration = 60 * time.Second
	// statsTimeConstant is the time constant by which completions, busy time and errors decay.
	statsTimeConstant = 15 * time.Second
	// minCompletions is the decayed number of completions below which the mean weight is used.
	minCompletions = 4.0
	// minWeight bounds every weight from below: deadlines move by 1/weight, so that a backend of weight 0 would never be
	// picked again, and its weight would never recover.
	minWeight = 1e-3
)

// Slow start (gRFC A100) of backends, and of models that a backend has just loaded.
const (
	// slowStartWindow is A100's slow_start_window: the time in which the weight rises to its full value.
	slowStartWindow = 2 * time.Second
	// slowStartAggression is A100's aggression, at its default: 1 is a linear rise, more is steeper at the beginning.
	slowStartAggression = 1.0
	// slowStartFloor is A100's min_weight_percent, as a share, at its default.
	slowStartFloor = 0.10
)

// Picking a backend.
const (
	// pickWindow is how many backends, those with the earliest deadlines, are compared by load.
	pickWindow = 4
	// peerLoadLifetime is how long the peers' loads count as fresh: shorter than a prefill takes.
	peerLoadLifetime = 50 * time.Millisecond
	// loadReportLifetime is how long a load that was reported for this very moment, by the backend itself or by the
	// peers, takes precedence over the totals that are polled.
	loadReportLifetime = 600 * time.Millisecond
	// inFlightCostMs is the cost of one request in flight, in milliseconds of queued prefill.
	inFlightCostMs = 4.0
	// dialCostMs is the cost of a backend without an idle connection, in milliseconds of queued prefill.
	dialCostMs = 60.0
	// maxCacheUtilization is the share of a backend's KV cache that requests may reserve.
	maxCacheUtilization = 0.9
	// maxPrefillWaitShare is the share of a client's time-out that the prefill queued before its own may take.
	maxPrefillWaitShare = 0.6
)

// Ejection: for how long a backend is not picked.
const (
	// overloadEjection follows a rejection by the backend (Not-Run).
	overloadEjection = 150 * time.Millisecond
	// missingModelEjection follows a 421: the backend lacks the model. Other models are still sent there.
	missingModelEjection = 1500 * time.Millisecond
	// initialConnectBackoff follows the first failure to connect; each further one doubles it.
	initialConnectBackoff = 500 * time.Millisecond
	// maxConnectBackoff bounds the backoff of an unreachable backend.
	maxConnectBackoff = 4 * time.Second
)

// Queueing and rejecting.
const (
	// maxQueued bounds the queue; a request that finds it full is rejected.
	maxQueued = 512
	// capacityWaitShare is the share of the latency target that a request waits for capacity.
	capacityWaitShare = 0.25
	// placementWaitShare is the share of the latency target that a request waits for its model to be placed.
	placementWaitShare = 0.2
	// minServiceTime is the least time from the end of a model's load to the first event of a response.
	minServiceTime = 300 * time.Millisecond

	// queueFullRetryAfter is the Retry-After of a request that finds the queue full.
	queueFullRetryAfter = time.Second
	// rejectedRetryAfter is the Retry-After of most rejections.
	rejectedRetryAfter = 400 * time.Millisecond
	// drainingRetryAfter is the Retry-After of a draining proxy: other proxies can take the request at once.
	drainingRetryAfter = 50 * time.Millisecond
)

// Estimates of when a model is loaded.
const (
	// adapterLoadTime is the time to load an adapter whose model is there.
	adapterLoadTime = 500 * time.Millisecond
	// warmLoadTime is the time to load a model from a backend's own disk.
	warmLoadTime = 1500 * time.Millisecond
	// loadPropagation is the most time from the end of a load until the proxies know of it.
	loadPropagation = 2 * time.Second
	// unknownLoadTime is the assumed time to load a model that the configuration does not name.
	unknownLoadTime = 12 * time.Second
)

// Estimates of prefill times.
const (
	// defaultPrefillRate is the time per prompt token, in milliseconds, until one is observed.
	defaultPrefillRate = 0.05
	// minPrefillRate is the least time per prompt token, in milliseconds.
	minPrefillRate = 0.002
	// rateStepUp and rateStepDown are the relative steps of the estimate after a slower and a faster observation. They
	// are q*step and (1-q)*step with q = 1/6 and step = 0.12, which follow the quantile of a sixth.
	rateStepUp   = 0.02
	rateStepDown = 0.10
	// firstEventOverheadMs is the time until the first event of the shortest prompt, the network included, in
	// milliseconds.
	firstEventOverheadMs = 35.0
	// minObservedPrompt is the length in tokens below which a prompt's first event says little of the rate.
	minObservedPrompt = 200
)

// Safety margins of the retry budget: its window slides, and proxies come and go.
const (
	ratioMargin     = 0.7 // share of the ratio that is used
	allowanceMargin = 0.7 // share of the allowance that is used
)
