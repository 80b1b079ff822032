package admission

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Five tenants are backlogged with requests of very different work: in each interval each tenant gets its share, within
// the bound of start-time fair queueing.
func TestController_BackloggedTenantsGetTheirShares(t *testing.T) {
	shares := []float64{1, 2, 3, 4, 10}
	s := testSettings(shares...)
	s.MaxQueued = 1000
	h := newHarness(t, s)
	g := rand.New(rand.NewPCG(1, 2))
	got := make([]float64, len(shares))
	maxDeviation := 0.0
	fill := func() {
		for i := range shares {
			for h.controller.tenants[i].queued < 20 {
				// The first tenant has ten thousand clients, the others one each.
				client := uint64(1)
				if i == 0 {
					client = g.Uint64N(10_000)
				}
				h.submit(Request{Tenant: i, Class: g.IntN(2), Client: client, Work: Time(20*ms + g.IntN(400*ms))})
			}
		}
	}
	fill()
	begin := make([]float64, len(shares))
	for step := range 20_000 {
		h.now += 1000
		h.finishOldest()
		fill()
		if step%2000 != 1999 { // measure every 2000 steps, some ten seconds of a small proxy
			continue
		}
		sum, total := 0.0, 0.0
		for i, x := range shares {
			got[i] = h.controller.tenants[i].stats.AdmittedWork - begin[i]
			begin[i] += got[i]
			sum, total = sum+x, total+got[i]
		}
		for i, x := range shares {
			deviation := math.Abs(got[i]/total/(x/sum) - 1)
			maxDeviation = math.Max(maxDeviation, deviation)
			if deviation > 0.03 {
				t.Errorf("step %d: tenant %d got %.4f of its share", step, i, got[i]/total/(x/sum))
			}
		}
	}
	t.Logf("shares deviate by at most %.4f", maxDeviation)
}

// One tenant sends twenty times the capacity, another a tenth of its share: the second tenant must not wait for more
// than the requests in flight.
func TestController_FloodDoesNotDelayOtherTenants(t *testing.T) {
	h := newHarness(t, testSettings(0.77, 0.23))
	worst := 0
	for step := range 5000 {
		for range 20 {
			h.submit(Request{Tenant: 0, Client: uint64(step)})
		}
		if step%20 == 0 {
			ticket := h.submit(Request{Tenant: 1, Client: 7})
			turns := 0
			for h.queued[ticket] {
				h.now += 25 * ms
				h.finishOldest()
				turns++
			}
			if h.decided[ticket].Kind != Admit {
				t.Fatalf("step %d: rejected: %v", step, h.decided[ticket].Reason)
			}
			worst = max(worst, turns)
		}
		h.now += 25 * ms
		h.finishOldest()
	}
	if worst > 2 {
		t.Errorf("the quiet tenant waited for %d other requests", worst)
	}
	if s := h.controller.Stats(1); s.Rejected != [reasonCount]uint64{} {
		t.Errorf("a request of the quiet tenant was rejected: %+v", s)
	}
}

// A tenant that was idle while another was served gets its share from then on, without credit for the idle time.
func TestController_IdleTenantGainsNoCredit(t *testing.T) {
	h := newHarness(t, testSettings(1, 1))
	serve := func(steps int, both bool) (float64, float64) {
		a, b := h.controller.tenants[0].stats.AdmittedWork, h.controller.tenants[1].stats.AdmittedWork
		for range steps {
			for i := 0; i < 2 && (i == 0 || both); i++ {
				for h.controller.tenants[i].queued < 10 {
					h.submit(Request{Tenant: i, Client: uint64(i)})
				}
			}
			h.now += 36 * ms
			h.finishOldest()
		}
		return h.controller.tenants[0].stats.AdmittedWork - a, h.controller.tenants[1].stats.AdmittedWork - b
	}
	serve(100_000, false)
	a, b := serve(200, true)
	if math.Abs(a/b-1) > 0.06 {
		t.Errorf("after the idle time the second tenant got %.0f, the first %.0f", b, a)
	}
}

// A tenant fills the queue with requests of a class of low value: a request of a valuable class must still be queued,
// and admitted soon.
func TestController_FloodDoesNotDelayValuableClass(t *testing.T) {
	s := testSettings(1, 1)
	s.MaxQueued = 50
	h := newHarness(t, s)
	for i := range 200 {
		h.submit(Request{Tenant: 0, Class: 0, Client: uint64(i)})
	}
	ticket := h.submit(Request{Tenant: 0, Class: 1, Client: 3})
	for turns := 0; h.queued[ticket]; turns++ {
		if turns > 3 {
			t.Fatal("a request of the valuable class is queued behind those of the other class")
		}
		h.now += ms
		h.finishOldest()
	}
	if a := h.decided[ticket]; a.Kind != Admit {
		t.Errorf("a request of the valuable class was rejected: %v", a.Reason)
	}
	if queued := h.controller.State().Queued; queued > 50 {
		t.Errorf("%d queued, at most 50 may be", queued)
	}
}

// A tenant with a share of 0 gets only capacity that no other tenant uses, and its requests are evicted first.
func TestController_TenantWithoutShare(t *testing.T) {
	s := testSettings(0, 1)
	s.MaxQueued = 10
	h := newHarness(t, s)
	for range 14 {
		h.submit(Request{Tenant: 0})
	}
	if got := h.controller.Stats(0).Admitted; got != 4 {
		t.Errorf("alone, the tenant without a share had %d requests admitted, want 4", got)
	}
	for range 10 {
		h.submit(Request{Tenant: 1})
	}
	if a, b := h.controller.tenants[0].queued, h.controller.tenants[1].queued; a != 0 || b != 10 {
		t.Errorf("%d and %d queued, want 0 of the tenant without a share and 10 of the other", a, b)
	}
	for range 3000 { // tags of a flow with a weight of 0 must not affect other flows in the long run
		h.submit(Request{Tenant: 0})
		h.now += ms
		h.finishOldest()
	}
	if s := h.controller.Stats(1); s.Admitted != 10 {
		t.Errorf("the other tenant had %d requests admitted, want 10", s.Admitted)
	}
}

// A tenant sends three times its quota: the requests within the quota are queued or admitted, at the expense of those
// beyond it.
func TestController_OverQuotaComesLast(t *testing.T) {
	s := testSettings(1)
	s.Tenants[0].Rate, s.MaxQueued = 20, 30
	h := newHarness(t, s)
	within, accepted := 0, 0
	for step := range 3000 { // a request every 16.7 ms, an end every 25 ms: 60 and 40 per second
		before := h.controller.tenants[0].quotaTokens
		ticket := h.submit(Request{Client: uint64(step), Deadline: h.now + 2*sec})
		if tookToken := h.controller.tenants[0].quotaTokens < before; tookToken || before >= 1 {
			within++
			if a := h.decided[ticket]; h.queued[ticket] || a.Kind == Admit {
				accepted++
			}
		}
		h.now += 16_667
		if len(h.inFlight) > 0 && step%3 != 0 {
			h.finishOldest()
		}
	}
	if within < 900 || accepted < within*98/100 {
		t.Errorf("of %d requests within the quota %d were queued or admitted", within, accepted)
	}
}
