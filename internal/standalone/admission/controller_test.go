package admission

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"pumiceline/internal/splitmix"
)

func TestController_RejectsRequestsThatWouldBeLate(t *testing.T) {
	h := newHarness(t, testSettings(1))
	for range 200 { // the latency: 50 ms, with 4 in flight
		h.submit(Request{})
		h.now += 50 * ms
		h.finishOldest()
	}
	for range 44 {
		h.submit(Request{Deadline: h.now + 60*sec})
	}
	queuedBefore := len(h.queued)
	urgent := h.submit(Request{Deadline: h.now + 100*ms})
	if a := h.decided[urgent]; a.Kind != Reject || a.Reason != TooLate || len(h.queued) != queuedBefore {
		t.Errorf("a request with too little time left: %+v", a)
	}
	// A queued request is rejected when admitBy has passed, and not before.
	last := h.submit(Request{Deadline: h.now + 30*sec})
	if !h.queued[last] {
		t.Fatalf("rejected at once: %+v", h.decided[last])
	}
	due := h.controller.entries[h.controller.lookup(last)].admitBy
	h.now = due
	h.record(h.controller.Tick(h.now, nil))
	if !h.queued[last] {
		t.Error("rejected before admitBy has passed")
	}
	if next := h.controller.NextTick(); next != due+1 {
		t.Errorf("tick is due at %d, want %d", next, due+1)
	}
	h.now++
	h.record(h.controller.Tick(h.now, nil))
	if a := h.decided[last]; a.Kind != Reject || a.Reason != TooLate {
		t.Errorf("after admitBy has passed: %+v", a)
	}
}

// After the head of the queue is canceled, the next request is admitted, and there is no decision on the canceled
// request.
func TestController_CancelOfQueueHead(t *testing.T) {
	h := newHarness(t, testSettings(1))
	var all []Ticket
	for range 7 {
		all = append(all, h.submit(Request{Client: 1}))
	}
	h.record(h.controller.Cancel(h.now, all[4], nil))
	h.record(h.controller.Cancel(h.now, all[4], nil))
	h.record(h.controller.Cancel(h.now, all[0], nil)) // it is in flight and not queued: ignored
	delete(h.queued, all[4])
	h.finishOldest()
	if h.decided[all[5]].Kind != Admit || h.queued[all[5]] {
		t.Error("the request after the canceled one was not admitted")
	}
	h.finishOldest()
	h.finishOldest()
	if _, ok := h.decided[all[4]]; ok || h.decided[all[6]].Kind != Admit {
		t.Error("there is a decision on the canceled request, or the last request was not admitted")
	}
	h.record(h.controller.Finish(h.now, all[0], true, nil)) // a repeated end of a request: ignored
	if state := h.controller.State(); state.InFlight != 4 && state.InFlight != len(h.inFlight) || state.Queued != 0 {
		t.Errorf("%d in flight, %d queued", state.InFlight, state.Queued)
	}
}

// Each request is from a new client: memory must be bounded by MaxQueued and not grow with the number of clients.
func TestController_MemoryIsIndependentOfClients(t *testing.T) {
	s := testSettings(1, 3)
	h := newHarness(t, s)
	var out []Decision
	for i := range 1_000_000 {
		h.now += 60
		r := Request{Tenant: i & 1, Class: i >> 1 & 1, Client: uint64(i), Deadline: h.now + sec}
		_, out = h.controller.Submit(h.now, r, out[:0])
		for _, a := range out {
			if a.Kind == Admit {
				h.controller.Finish(h.now, a.Ticket, false, nil)
			}
		}
	}
	if n := len(h.controller.entries); n > s.MaxQueued+8 {
		t.Errorf("%d entries, but only %d requests may be queued", n, s.MaxQueued)
	}
}

// For any events, each request has one decision, something is in flight while a request is queued (work conservation),
// entries and queues agree with each other, and no request is queued past its admitBy.
func TestController_Invariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := testSettings(rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0.1, 1, 1, 10}), 1, 5).Draw(rt, "shares")...)
		s.MaxQueued, s.QueuesPerClass = rapid.IntRange(1, 20).Draw(rt, "maxQueued"), rapid.IntRange(1, 4).Draw(rt, "queuesPerClass")
		h := newHarness(t, s)
		var all []Ticket
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			h.now += Time(rapid.SampledFrom([]int{0, 1, 10 * ms, 400 * ms, 20 * sec}).Draw(rt, "elapsed"))
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0, 1, 2:
				r := Request{Tenant: rapid.IntRange(0, len(s.Tenants)-1).Draw(rt, "tenant"), Class: rapid.IntRange(0, 1).Draw(rt, "class"),
					Client: uint64(rapid.IntRange(0, 9).Draw(rt, "client")), IsRetry: rapid.Bool().Draw(rt, "isRetry"),
					Work:     Time(rapid.SampledFrom([]int{0, 1, 100 * ms, 1 << 40}).Draw(rt, "work")),
					Deadline: h.now + Time(rapid.SampledFrom([]int{-sec, 0, 100 * ms, 60 * sec}).Draw(rt, "timeLeft"))}
				if r.Deadline == 0 {
					r.Deadline = 1
				}
				all = append(all, h.submit(r))
			case 3:
				if len(h.inFlight) > 0 {
					h.finishOldest()
				}
			case 4:
				if len(all) > 0 {
					a := all[rapid.IntRange(0, len(all)-1).Draw(rt, "canceled")]
					delete(h.queued, a)
					h.record(h.controller.Cancel(h.now, a, nil))
				}
			case 5:
				h.record(h.controller.Tick(h.now, nil))
			}
			checkInvariants(rt, h)
		}
		for len(h.inFlight) > 0 {
			h.finishOldest()
			checkInvariants(rt, h)
		}
		if len(h.queued) > 0 {
			rt.Fatalf("%d requests without a decision", len(h.queued))
		}
	})
}

func checkInvariants(t *rapid.T, h *harness) {
	t.Helper()
	c := h.controller
	queued, states := 0, [3]int{}
	for i := range c.entries {
		states[c.entries[i].state]++
	}
	for i := range c.tenants {
		tenant := &c.tenants[i]
		queued += tenant.queued
		if n := c.tenantOrder.flows[i].queued; n != tenant.queued {
			t.Fatalf("tenant %d: %d queued, its flow has %d", i, tenant.queued, n)
		}
	}
	if queued != c.queued || states[stateQueued] != queued || len(c.admitByHeap) != queued ||
		queued > c.settings.MaxQueued || len(h.queued) != queued {
		t.Fatalf("%d queued, %d by tenants, %d by entries, %d by the heap, %d by the harness, of %d",
			c.queued, queued, states[stateQueued], len(c.admitByHeap), len(h.queued), c.settings.MaxQueued)
	}
	if states[stateInFlight] != c.inFlight || c.inFlight != len(h.inFlight) {
		t.Fatalf("%d in flight, %d by entries, %d by the harness", c.inFlight, states[stateInFlight], len(h.inFlight))
	}
	if queued > 0 && c.inFlight == 0 {
		t.Fatal("requests are queued and nothing is in flight")
	}
	if queued > 0 && c.entries[c.admitByHeap[0]].admitBy < c.now {
		t.Fatal("a request is queued past its admitBy")
	}
}

// BenchmarkController measures one request, from arrival to end, while others are queued.
func BenchmarkController(b *testing.B) {
	for _, queued := range []int{0, 10, 10_000} {
		b.Run(fmt.Sprint("queued=", queued), func(b *testing.B) {
			s := testSettings(1, 2, 3, 4, 10)
			s.MaxQueued = 20_000
			d, err := New(s)
			if err != nil {
				b.Fatal(err)
			}
			now := Time(sec)
			inFlight := make([]Ticket, 0, 64)
			out := make([]Decision, 0, 64)
			recordAdmitted := func() {
				for _, a := range out {
					if a.Kind == Admit {
						inFlight = append(inFlight, a.Ticket)
					}
				}
			}
			n := uint64(0)
			submit := func() {
				n++
				r := Request{Tenant: int(n % 5), Class: int(n >> 3 & 1), Client: splitmix.Mix(n), Deadline: now + 3600*sec}
				_, out = d.Submit(now, r, out[:0])
				recordAdmitted()
			}
			for range queued + 4 {
				submit()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now += 100
				submit()
				oldest := inFlight[0]
				inFlight = append(inFlight[:0], inFlight[1:]...)
				out = d.Finish(now, oldest, true, out[:0])
				recordAdmitted()
			}
		})
	}
}
