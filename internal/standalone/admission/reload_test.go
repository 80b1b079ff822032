package admission

import (
	"testing"
)

// New settings change the shares, shorten the queue and remove a tenant: requests in flight stay, queued requests keep
// their order or are rejected, and invalid settings change nothing.
func TestController_ApplySettingsWithFullQueue(t *testing.T) {
	s := testSettings(1, 1, 1)
	s.MaxQueued = 30
	h := newHarness(t, s)
	for i := range 40 {
		h.submit(Request{Tenant: i % 3, Client: uint64(i)})
	}
	bad := s
	bad.MinLimit = 0
	if out, err := h.controller.ApplySettings(h.now, bad, nil); err == nil || len(out) > 0 {
		t.Errorf("invalid settings: %v, %v", out, err)
	}
	before := h.controller.State()
	next := testSettings(5, 1)
	next.MaxQueued, next.InitialLimit, next.MinLimit, next.MaxLimit = 15, 6, 6, 6
	out, err := h.controller.ApplySettings(h.now, next, nil)
	if err != nil {
		t.Fatal(err)
	}
	h.record(out)
	after := h.controller.State()
	if after.InFlight != before.InFlight+2 || after.Queued > 15 ||
		after.InFlight+after.Queued+len(out)-2 != before.InFlight+before.Queued {
		t.Errorf("%d in flight and %d queued, before %d and %d", after.InFlight, after.Queued, before.InFlight, before.Queued)
	}
	for len(h.inFlight) > 0 {
		h.now += ms
		h.finishOldest()
	}
	if len(h.queued) > 0 {
		t.Errorf("%d requests without a decision", len(h.queued))
	}
}
