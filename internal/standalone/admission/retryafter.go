package admission

import (
	"math"

	"pumiceline/internal/splitmix"
)

const (
	// reservationSlot is the length of a slot of reservedWork, in microseconds.
	reservationSlot = 100_000
	// reservableFraction is the fraction of a tenant's rate that is reserved for rejected requests. The rest is left
	// for requests that arrive for the first time.
	reservableFraction = 0.7
	// minRate, in work per microsecond, replaces a rate of zero in divisions.
	minRate = 1e-9
	// maxFirstSlot bounds the first slot of the search before its conversion to an int.
	maxFirstSlot = 1e6
	// returnSlots is the number of slots in which a reservation can be used: its own slot and the one before, for a
	// client that returns slightly early or whose clock is slightly fast.
	returnSlots = 2
	// spreadFraction is the fraction of a slot over which the requests that return in it are spread.
	spreadFraction = 0.9
)

// tenantAdmitRate returns the work per microsecond that is, or would be, admitted for a tenant: its own smoothed rate,
// or its fair share of the rate of all tenants if that is higher. The own rate of a tenant that has sent nothing
// recently is near zero, which does not show how fast its requests would be admitted.
func (c *Controller) tenantAdmitRate(t *tenant, tenantIndex int) float64 {
	own := &c.tenantOrder.flows[tenantIndex]
	sum := c.tenantOrder.activeWeight
	if own.queued == 0 {
		sum += own.weight
	}
	fair := c.admitRate * own.weight / math.Max(sum, own.weight)
	return math.Max(math.Max(t.admitRate, fair), minRate)
}

// expectedWait returns how long a request would be queued: the queued work of its tenant plus the work reserved for
// requests that return now, divided by the rate at which the tenant's work is admitted.
func (c *Controller) expectedWait(t *tenant, e *entry) float64 {
	ahead := t.queuedWork
	if e.isReturning { // capacity is reserved for the request
		ahead = 0
	} else {
		ahead += t.reservedWork[0]
	}
	if c.admitRate == 0 { // no rate has been measured yet
		return 0
	}
	return ahead / c.tenantAdmitRate(t, int(e.tenant))
}

// reserveRetryAfter returns after what time a rejected request should return: in the first slot in which the rate at
// which its tenant's work is admitted leaves unreserved work. It reserves the request's work in that slot, so that
// other requests get other slots, and picks a time within the slot, so that requests that are rejected together do not
// return together. 0: no slot within MaxRetryAfter has capacity, so that any time would be wrong.
func (c *Controller) reserveRetryAfter(t *tenant, e *entry) Time {
	slotWork := c.tenantAdmitRate(t, int(e.tenant)) * reservationSlot * reservableFraction
	first := 1 + int(math.Min(maxFirstSlot, t.queuedWork/math.Max(slotWork, minRate)*reservableFraction))
	for slot := first; slot < len(t.reservedWork); slot++ {
		if t.reservedWork[slot] > 0 && t.reservedWork[slot]+e.work > slotWork {
			continue
		}
		t.reservedWork[slot] += e.work
		t.stats.Reserved++
		begin := c.lastTick + Time(slot)*reservationSlot - c.now
		spread := Time(splitmix.Mix(uint64(e.generation)<<32^uint64(e.arrivedAt)) % (reservationSlot * spreadFraction))
		return min(max(1, begin+spread), c.settings.MaxRetryAfter)
	}
	return 0
}

// takeReservation reports whether at least half of a retry's work is reserved for the tenant now, and subtracts the
// work from the reservation.
func (t *tenant) takeReservation(work float64) bool {
	for slot := range t.reservedWork[:min(returnSlots, len(t.reservedWork))] {
		if t.reservedWork[slot] >= work/2 {
			t.reservedWork[slot] = math.Max(0, t.reservedWork[slot]-work)
			return true
		}
	}
	return false
}

// passReservations removes the reservations of the slots that have passed.
func (t *tenant) passReservations(slots int) {
	passed := min(slots, len(t.reservedWork))
	if passed == 0 {
		return
	}
	copy(t.reservedWork, t.reservedWork[passed:])
	clear(t.reservedWork[len(t.reservedWork)-passed:])
}
