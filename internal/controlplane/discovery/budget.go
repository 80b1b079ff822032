package discovery

import "time"

// Budget divides Bounds.Drain among the steps that bring the platform's list to a request. A request may be sent to a
// backend until Bounds.Drain after the list shows the backend as draining, so the list by which a backend is picked may
// be older than that by no more than the time to send the request.
//
// While nothing fails, a list in use is as old as the interval between two reads and the time of one read:
//
//	ReadInterval + ReadTimeout + hop = 0.50 * Drain
//
// When the lease holder does not supply a list, another member reads it:
//
//	StandbyAge(last) + ReadTimeout + hop = 0.80 * Drain
//
// When a proxy's own coordinator does not answer, it polls the next one, with at most this much age more:
//
//	PollWait + ResponseMargin = 0.275 * Drain
//
// A poll ends earlier the older the subscriber's list is (PollTimes), so that several coordinators that do not answer one
// after the other do not use up the rest of the time.
type Budget struct {
	// ReadInterval is the longest interval at which the lease holder reads the list.
	ReadInterval time.Duration
	// ReadTimeout bounds a read of all pages.
	ReadTimeout time.Duration
	// PollWait is how long a server may keep a poll open while it has nothing newer.
	PollWait time.Duration
	// ResponseMargin is how much longer than the poll's wait a response may take.
	ResponseMargin time.Duration
	// RefreshLag is how much later than a subscriber's list the server's must be read to answer an open poll at once if
	// both have the same backends. It is below ReadInterval, so a subscriber learns of each reading.
	RefreshLag time.Duration
	// FailoverAge is the age of a proxy's list from which it polls another coordinator.
	FailoverAge time.Duration
	// FallbackAge is the age of a proxy's list from which it reads the platform itself.
	FallbackAge time.Duration
	// SendTime is the longest time from the pick of a backend until the request is sent: the time to connect.
	SendTime time.Duration

	staleWait   time.Duration // wait of a poll while the subscriber's list is too old
	standbyAge  time.Duration
	standbyStep time.Duration
}

// Shares of Bounds.Drain; see Budget.
const (
	readIntervalShare   = 0.25
	readTimeoutShare    = 0.20
	hopShare            = 0.05
	pollWaitShare       = 0.125
	staleWaitShare      = 0.025
	responseMarginShare = 0.15
	refreshLagShare     = 0.20
	standbyAgeShare     = 0.45
	standbyStepShare    = 0.05
	maxStandbySteps     = 2
	failoverAgeShare    = 0.60
	fallbackAgeShare    = 0.75
	sendTimeShare       = 0.175
)

// NewBudget returns the budget for a value of Bounds.Drain.
func NewBudget(drain time.Duration) Budget {
	share := func(share float64) time.Duration { return time.Duration(share * float64(drain)) }
	return Budget{
		ReadInterval: share(readIntervalShare), ReadTimeout: share(readTimeoutShare), PollWait: share(pollWaitShare),
		ResponseMargin: share(responseMarginShare), RefreshLag: share(refreshLagShare),
		FailoverAge: share(failoverAgeShare), FallbackAge: share(fallbackAgeShare), SendTime: share(sendTimeShare),
		staleWait: share(staleWaitShare), standbyAge: share(standbyAgeShare), standbyStep: share(standbyStepShare),
	}
}

// PollTimes returns how long a server may keep a poll open while it has nothing newer, and how long the response may take.
// age is the age of the subscriber's list. From FailoverAge on, both are as short as possible.
func (b Budget) PollTimes(age time.Duration) (wait, timeout time.Duration) {
	left := max(b.staleWait, b.FailoverAge-age)
	wait = min(b.PollWait, left)
	timeout = min(b.PollWait+b.ResponseMargin, left+b.ResponseMargin/2)
	return wait, timeout
}

// StandbyAge is the age of a member's list from which it reads the platform itself, although it is not the lease holder.
// rank is its position among these members: the first ones try first, so that usually one member reads. tolerance is how
// many machines may be lost at once; members of a higher rank do not wait longer.
func (b Budget) StandbyAge(rank, tolerance int) time.Duration {
	steps := min(rank, tolerance, maxStandbySteps)
	return b.standbyAge + time.Duration(steps)*b.standbyStep
}
