package admission

import (
	"fmt"
	"testing"
)

const ms, sec = 1000, 1_000_000

// testSettings returns settings with two classes, tenants with these shares and a fixed limit of four requests, so that
// the test decides when the next request is admitted.
func testSettings(shares ...float64) Settings {
	s := Defaults()
	s.Classes = []Class{{Name: "quote", Value: 1, Work: 100 * ms}, {Name: "policy", Value: 5, Work: 100 * ms}}
	for i, x := range shares {
		s.Tenants = append(s.Tenants, Tenant{Name: fmt.Sprint("t", i), Share: x})
	}
	s.MinLimit, s.InitialLimit, s.MaxLimit = 4, 4, 4
	return s
}

// harness drives a Controller as a listener does. It keeps the tickets of admitted requests until the test finishes
// them, and fails the test if a request has two decisions.
type harness struct {
	t          testing.TB
	controller *Controller
	now        Time
	inFlight   []Ticket
	decided    map[Ticket]Decision
	queued     map[Ticket]bool
}

func newHarness(t testing.TB, s Settings) *harness {
	t.Helper()
	controller, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, controller: controller, now: sec, decided: map[Ticket]Decision{}, queued: map[Ticket]bool{}}
}

func (h *harness) record(decisions []Decision) {
	h.t.Helper()
	for _, d := range decisions {
		if _, twice := h.decided[d.Ticket]; twice {
			h.t.Fatalf("two decisions for one request: %+v", d)
		}
		h.decided[d.Ticket] = d
		delete(h.queued, d.Ticket)
		if d.Kind == Admit {
			h.inFlight = append(h.inFlight, d.Ticket)
		} else if d.RetryAfter < 0 || d.RetryAfter > h.controller.settings.MaxRetryAfter {
			h.t.Fatalf("rejected with a Retry-After of %d us", d.RetryAfter)
		}
	}
}

func (h *harness) submit(r Request) Ticket {
	if r.Deadline == 0 {
		r.Deadline = h.now + 3600*sec
	}
	ticket, out := h.controller.Submit(h.now, r, nil)
	h.queued[ticket] = true
	h.record(out)
	return ticket
}

// finishOldest finishes the request that has been in flight the longest.
func (h *harness) finishOldest() {
	t := h.inFlight[0]
	h.inFlight = h.inFlight[1:]
	h.record(h.controller.Finish(h.now, t, true, nil))
}
