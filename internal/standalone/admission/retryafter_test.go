package admission

import (
	"math/rand/v2"
	"testing"
)

func TestController_RetryBudget(t *testing.T) {
	s := testSettings(1, 1)
	s.RetryBurst, s.RetryRatio = 5, 0.1
	h := newHarness(t, s)
	rejected := 0
	for range 50 {
		if a, ok := h.decided[h.submit(Request{IsRetry: true})]; ok && a.Kind == Reject {
			if a.Reason != RetryBudgetExhausted {
				t.Errorf("rejected with reason %v", a.Reason)
			}
			rejected++
		}
	}
	// RetryBurst allows five retries; retries at the time of a reservation need no token.
	if got := int(h.controller.Stats(0).Rejected[RetryBudgetExhausted]); got != rejected || rejected < 30 {
		t.Errorf("%d of 50 retries rejected, %d counted", rejected, got)
	}
	if a := h.submit(Request{Tenant: 1, IsRetry: true}); !h.queued[a] {
		t.Error("the retries of one tenant use up the budget of another")
	}
}

// simulateReturns simulates an overload in which rejected clients return once, as retries, at their Retry-After or
// after a fixed time. It returns the fraction of the returned clients that was admitted.
func simulateReturns(t *testing.T, overload float64, fixed Time) float64 {
	t.Helper()
	s := testSettings(1)
	s.MaxQueued, s.RetryRatio = 16, 10
	h := newHarness(t, s)
	g := rand.New(rand.NewPCG(5, 6))
	var returnTimes []Time // of the rejected clients that have not returned yet
	returned, admitted := 0, 0
	isReturn := map[Ticket]bool{}
	for range 60_000 { // of 1 ms
		h.now += ms
		var returns int // in this step
		for i := 0; i < len(returnTimes); i++ {
			if returnTimes[i] <= h.now {
				returnTimes[i] = returnTimes[len(returnTimes)-1]
				returnTimes = returnTimes[:len(returnTimes)-1]
				i--
				returns++
			}
		}
		firstAttempts := 0
		if g.Float64() < 0.04*overload {
			firstAttempts = 1
		}
		for i := range returns + firstAttempts {
			ticket := h.submit(Request{Client: g.Uint64(), Deadline: h.now + sec, IsRetry: i < returns})
			if isReturn[ticket] = i < returns; i < returns {
				returned++
			}
		}
		if len(h.inFlight) > 0 && h.now%(25*ms) == 0 {
			h.finishOldest()
		}
		h.record(h.controller.Tick(h.now, nil))
		for ticket, a := range h.decided {
			switch {
			case a.Kind == Admit && isReturn[ticket]:
				admitted++
			case a.Kind == Reject && !isReturn[ticket]: // a client that is rejected twice gives up
				after := a.RetryAfter
				if fixed > 0 {
					after = fixed
				}
				if after == 0 { // without a Retry-After it does not return
					break
				}
				returnTimes = append(returnTimes, h.now+after)
			}
			delete(isReturn, ticket)
		}
		clear(h.decided)
	}
	return float64(admitted) / float64(max(1, returned))
}

// Clients that return at their Retry-After are admitted. The figures are in docs/admission.md.
func TestController_RetryAfterFindsCapacity(t *testing.T) {
	for _, overload := range []float64{2, 10} {
		atRetryAfter, fixed := simulateReturns(t, overload, 0), simulateReturns(t, overload, sec)
		t.Logf("%v times overload: %.3f admitted at their Retry-After, %.3f after a fixed second", overload, atRetryAfter, fixed)
		if atRetryAfter < 0.95 || atRetryAfter < fixed {
			t.Errorf("%v times overload: %.3f admitted at their Retry-After, %.3f after a fixed second", overload, atRetryAfter, fixed)
		}
	}
}
