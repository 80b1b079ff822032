package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const ms, sec = 1000, 1_000_000

func settings(shares ...float64) Settings {
	s := Defaults()
	s.Classes = []Class{{Name: "quote", Value: 1, Work: 100 * ms}, {Name: "policy", Value: 5, Work: 100 * ms}}
	for i, x := range shares {
		s.Tenants = append(s.Tenants, Tenant{Name: fmt.Sprint("t", i), Share: x})
	}
	s.MinLimit, s.InitialLimit, s.MaxLimit = 4, 4, 4 // a fixed limit, so that what goes in is what the test lets out
	return s
}

// world drives a door as the front would: it keeps what goes in and takes it out again, and fails the test where a
// request gets no decision, or two.
type world struct {
	t       testing.TB
	d       *Controller
	now     Time
	inside  []Ticket
	decided map[Ticket]Action
	waits   map[Ticket]bool
}

func newWorld(t testing.TB, s Settings) *world {
	d, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return &world{t: t, d: d, now: sec, decided: map[Ticket]Action{}, waits: map[Ticket]bool{}}
}

func (w *world) take(out []Action) {
	for _, a := range out {
		if _, twice := w.decided[a.Ticket]; twice {
			w.t.Fatalf("two decisions for one request: %+v", a)
		}
		w.decided[a.Ticket] = a
		delete(w.waits, a.Ticket)
		if a.Kind == Admit {
			w.inside = append(w.inside, a.Ticket)
		} else if a.RetryAfter < 0 || a.RetryAfter > w.d.settings.MaxRetryAfter {
			w.t.Fatalf("refused with a return in %d us", a.RetryAfter)
		}
	}
}

func (w *world) arrive(r Request) Ticket {
	if r.Deadline == 0 {
		r.Deadline = w.now + 3600*sec
	}
	ticket, out := w.d.Submit(w.now, r, nil)
	w.waits[ticket] = true
	w.take(out)
	return ticket
}

// leave takes the oldest out of what is inside.
func (w *world) leave() {
	t := w.inside[0]
	w.inside = w.inside[1:]
	w.take(w.d.Finish(w.now, t, true, nil))
}

// TestSharesOfBackloggedTenants keeps five tenants backlogged with requests of very unlike work and checks over every
// stretch of work that each gets its share, within the bound of start-time fair queueing.
func TestSharesOfBackloggedTenants(t *testing.T) {
	shares := []float64{1, 2, 3, 4, 10}
	s := settings(shares...)
	s.MaxQueued = 1000
	w := newWorld(t, s)
	g := rand.New(rand.NewPCG(1, 2))
	got := make([]float64, len(shares))
	most := 0.0
	fill := func() {
		for i := range shares {
			for w.d.tenants[i].queued < 20 {
				// A tenant of ten thousand clients beside tenants of one.
				client := uint64(1)
				if i == 0 {
					client = g.Uint64N(10_000)
				}
				w.arrive(Request{Tenant: i, Class: g.IntN(2), Client: client, Work: Time(20*ms + g.IntN(400*ms))})
			}
		}
	}
	fill()
	begin := make([]float64, len(shares))
	for step := range 20_000 {
		w.now += 1000
		w.leave()
		fill()
		if step%2000 != 1999 { // some ten seconds of a small proxy
			continue
		}
		sum, total := 0.0, 0.0
		for i, x := range shares {
			got[i] = w.d.tenants[i].stats.AdmittedWork - begin[i]
			begin[i] += got[i]
			sum, total = sum+x, total+got[i]
		}
		for i, x := range shares {
			off := math.Abs(got[i]/total/(x/sum) - 1)
			most = math.Max(most, off)
			if off > 0.03 {
				t.Errorf("step %d: tenant %d got %.4f of its share", step, i, got[i]/total/(x/sum))
			}
		}
	}
	t.Logf("shares are off by %.4f at the most", most)
}

// TestAFloodDoesNotDelayTheOthers lets one tenant send twenty times what goes in, and another a tenth of its share: the
// second must wait no longer than what is inside takes.
func TestAFloodDoesNotDelayTheOthers(t *testing.T) {
	w := newWorld(t, settings(0.77, 0.23))
	worst := 0
	for step := range 5000 {
		for range 20 {
			w.arrive(Request{Tenant: 0, Client: uint64(step)})
		}
		if step%20 == 0 {
			ticket := w.arrive(Request{Tenant: 1, Client: 7})
			turns := 0
			for w.waits[ticket] {
				w.now += 25 * ms
				w.leave()
				turns++
			}
			if w.decided[ticket].Kind != Admit {
				t.Fatalf("step %d: refused: %v", step, w.decided[ticket].Reason)
			}
			worst = max(worst, turns)
		}
		w.now += 25 * ms
		w.leave()
	}
	if worst > 2 {
		t.Errorf("the quiet tenant waited for %d turns", worst)
	}
	if s := w.d.Stats(1); s.Rejected != [reasonCount]uint64{} {
		t.Errorf("the quiet tenant was refused: %+v", s)
	}
}

// TestIdleHourBuysNothing lets a tenant be idle while another is served, then burst: it gets its share from then on, no
// more and no less.
func TestIdleHourBuysNothing(t *testing.T) {
	w := newWorld(t, settings(1, 1))
	work := func(steps int, both bool) (float64, float64) {
		a, b := w.d.tenants[0].stats.AdmittedWork, w.d.tenants[1].stats.AdmittedWork
		for range steps {
			for i := 0; i < 2 && (i == 0 || both); i++ {
				for w.d.tenants[i].queued < 10 {
					w.arrive(Request{Tenant: i, Client: uint64(i)})
				}
			}
			w.now += 36 * ms
			w.leave()
		}
		return w.d.tenants[0].stats.AdmittedWork - a, w.d.tenants[1].stats.AdmittedWork - b
	}
	work(100_000, false)
	a, b := work(200, true)
	if math.Abs(a/b-1) > 0.06 {
		t.Errorf("after its idle hour the second got %.0f, the first %.0f", b, a)
	}
}

// TestPoliciesPassAFloodOfQuotes floods with cheap quotes within one tenant, all places taken: a policy finds a place and
// goes in soon.
func TestPoliciesPassAFloodOfQuotes(t *testing.T) {
	s := settings(1, 1)
	s.MaxQueued = 50
	w := newWorld(t, s)
	for i := range 200 {
		w.arrive(Request{Tenant: 0, Class: 0, Client: uint64(i)})
	}
	ticket := w.arrive(Request{Tenant: 0, Class: 1, Client: 3})
	for turns := 0; w.waits[ticket]; turns++ {
		if turns > 3 {
			t.Fatal("a policy waits behind quotes")
		}
		w.now += ms
		w.leave()
	}
	if a := w.decided[ticket]; a.Kind != Admit {
		t.Errorf("a policy was refused: %v", a.Reason)
	}
	if queued := w.d.State().Queued; queued > 50 {
		t.Errorf("%d queued where 50 may be", queued)
	}
}

// TestNoShare: a tenant without a share gets what nobody else wants, and pays first where places are short.
func TestNoShare(t *testing.T) {
	s := settings(0, 1)
	s.MaxQueued = 10
	w := newWorld(t, s)
	for range 14 {
		w.arrive(Request{Tenant: 0})
	}
	if got := w.d.Stats(0).Admitted; got != 4 {
		t.Errorf("alone, it got %d in", got)
	}
	for range 10 {
		w.arrive(Request{Tenant: 1})
	}
	if a, b := w.d.tenants[0].queued, w.d.tenants[1].queued; a != 0 || b != 10 {
		t.Errorf("%d and %d wait", a, b)
	}
	for range 3000 { // tags of a flow without a weight must not spoil the others' in the long run
		w.arrive(Request{Tenant: 0})
		w.now += ms
		w.leave()
	}
	if s := w.d.Stats(1); s.Admitted != 10 {
		t.Errorf("the other got %d in", s.Admitted)
	}
}

func TestLateOnesAreRefusedAtOnce(t *testing.T) {
	w := newWorld(t, settings(1))
	for range 200 { // what is usual: 50 ms inside, 4 at a time
		w.arrive(Request{})
		w.now += 50 * ms
		w.leave()
	}
	for range 44 {
		w.arrive(Request{Deadline: w.now + 60*sec})
	}
	waits := len(w.waits)
	hasty := w.arrive(Request{Deadline: w.now + 100*ms})
	if a := w.decided[hasty]; a.Kind != Reject || a.Reason != TooLate || len(w.waits) != waits {
		t.Errorf("%+v", a)
	}
	// What waits is refused when its time is up, and neither sooner nor later.
	last := w.arrive(Request{Deadline: w.now + 30*sec})
	if !w.waits[last] {
		t.Fatalf("refused at once: %+v", w.decided[last])
	}
	due := w.d.entries[w.d.lookup(last)].admitBy
	w.now = due
	w.take(w.d.Tick(w.now, nil))
	if !w.waits[last] {
		t.Error("refused before its time")
	}
	if next := w.d.Next(); next != due+1 {
		t.Errorf("tick is due at %d, want %d", next, due+1)
	}
	w.now++
	w.take(w.d.Tick(w.now, nil))
	if a := w.decided[last]; a.Kind != Reject || a.Reason != TooLate {
		t.Errorf("past its time: %+v", a)
	}
}

// TestAbandonedHead takes the head of the queue away: the next goes in, and what is abandoned has no further decision.
func TestAbandonedHead(t *testing.T) {
	w := newWorld(t, settings(1))
	var all []Ticket
	for range 7 {
		all = append(all, w.arrive(Request{Client: 1}))
	}
	w.take(w.d.Cancel(w.now, all[4], nil))
	w.take(w.d.Cancel(w.now, all[4], nil))
	w.take(w.d.Cancel(w.now, all[0], nil)) // it is inside: nothing happens
	delete(w.waits, all[4])
	w.leave()
	if w.decided[all[5]].Kind != Admit || w.waits[all[5]] {
		t.Error("the next did not go in")
	}
	w.leave()
	w.leave()
	if _, ok := w.decided[all[4]]; ok || w.decided[all[6]].Kind != Admit {
		t.Error("the abandoned one was decided, or the last was not")
	}
	w.take(w.d.Finish(w.now, all[0], true, nil)) // a second end of one that left
	if state := w.d.State(); state.InFlight != 4 && state.InFlight != len(w.inside) || state.Queued != 0 {
		t.Errorf("%d in flight, %d queued", state.InFlight, state.Queued)
	}
}

func TestRepeatsHaveTheirBudget(t *testing.T) {
	s := settings(1, 1)
	s.RetryBurst, s.RetryRatio = 5, 0.1
	w := newWorld(t, s)
	refused := 0
	for range 50 {
		if a, ok := w.decided[w.arrive(Request{IsRetry: true})]; ok && a.Kind == Reject {
			if a.Reason != RetryBudgetExhausted {
				t.Errorf("%v", a.Reason)
			}
			refused++
		}
	}
	// Five of the burst; those that come when promised are not counted against it.
	if got := int(w.d.Stats(0).Rejected[RetryBudgetExhausted]); got != refused || refused < 30 {
		t.Errorf("%d of 50 repeats refused, %d counted", refused, got)
	}
	if a := w.arrive(Request{Tenant: 1, IsRetry: true}); !w.waits[a] {
		t.Error("one tenant's repeats cost another's")
	}
}

// TestChangeWhileFull reloads with other shares, fewer places, one tenant less: what is inside stays, what waits keeps its
// order or is refused, and a wrong file changes nothing.
func TestChangeWhileFull(t *testing.T) {
	s := settings(1, 1, 1)
	s.MaxQueued = 30
	w := newWorld(t, s)
	for i := range 40 {
		w.arrive(Request{Tenant: i % 3, Client: uint64(i)})
	}
	bad := s
	bad.MinLimit = 0
	if out, err := w.d.ApplySettings(w.now, bad, nil); err == nil || len(out) > 0 {
		t.Errorf("a wrong file: %v, %v", out, err)
	}
	before := w.d.State()
	next := settings(5, 1)
	next.MaxQueued, next.InitialLimit, next.MinLimit, next.MaxLimit = 15, 6, 6, 6
	out, err := w.d.ApplySettings(w.now, next, nil)
	if err != nil {
		t.Fatal(err)
	}
	w.take(out)
	after := w.d.State()
	if after.InFlight != before.InFlight+2 || after.Queued > 15 ||
		after.InFlight+after.Queued+len(out)-2 != before.InFlight+before.Queued {
		t.Errorf("%d in flight and %d queued, before %d and %d", after.InFlight, after.Queued, before.InFlight, before.Queued)
	}
	for len(w.inside) > 0 {
		w.now += ms
		w.leave()
	}
	if len(w.waits) > 0 {
		t.Errorf("%d requests without a decision", len(w.waits))
	}
}

// TestTheLimitFindsWhatTheServersBear drives a door with a model of a service that does 20 requests at once and queues
// the rest: the limit must settle near that, from above and from below.
func TestTheLimitFindsWhatTheServersBear(t *testing.T) {
	for _, start := range []float64{4, 1000} {
		s := settings(1)
		s.MinLimit, s.InitialLimit, s.MaxLimit, s.MaxQueued = 4, start, 4096, 200
		w := newWorld(t, s)
		g := rand.New(rand.NewPCG(3, 4))
		type job struct {
			ticket Ticket
			left   float64
		}
		var jobs []job
		seen := 0
		for step := range 120_000 { // of 1 ms: two minutes
			w.now += ms
			if step < 4000 && step%10 == 0 || step >= 4000 && g.Float64() < 0.4 { // calm at first, then twice what it can do
				w.arrive(Request{Deadline: w.now + 2*sec})
			}
			for ; seen < len(w.inside); seen++ {
				jobs = append(jobs, job{w.inside[seen], 100 * (0.5 + g.Float64())})
			}
			share := math.Min(1, 20/math.Max(1, float64(len(jobs))))
			kept := jobs[:0]
			for _, j := range jobs {
				if j.left -= share; j.left > 0 {
					kept = append(kept, j)
				} else {
					w.take(w.d.Finish(w.now, j.ticket, true, nil))
				}
			}
			jobs = kept
			w.take(w.d.Tick(w.now, nil))
		}
		if limit := w.d.State().Limit; limit < 18 || limit > 70 {
			t.Errorf("from %v the limit settles at %.1f where 20 go at once", start, limit)
		}
		if got := w.d.Stats(0).AdmittedWork / 118e6 / 20; got < 0.85 {
			t.Errorf("from %v: only %.2f of what the service can do is used", start, got)
		}
	}
}

// TestAMillionClients sends from a new client each time: memory is bounded by the places, not by the names.
func TestAMillionClients(t *testing.T) {
	s := settings(1, 3)
	w := newWorld(t, s)
	var out []Action
	for i := range 1_000_000 {
		w.now += 60
		_, out = w.d.Submit(w.now, Request{Tenant: i & 1, Class: i >> 1 & 1, Client: uint64(i), Deadline: w.now + sec}, out[:0])
		for _, a := range out {
			if a.Kind == Admit {
				w.d.Finish(w.now, a.Ticket, false, nil)
			}
		}
	}
	if n := len(w.d.entries); n > s.MaxQueued+8 {
		t.Errorf("%d places for %d that may wait", n, s.MaxQueued)
	}
}

// TestInvariants is the property test: whatever comes, each request has one decision, the door never stands empty while one
// waits (work conservation), places and queues agree with each other, and nobody waits past its end.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := settings(rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0.1, 1, 1, 10}), 1, 5).Draw(rt, "shares")...)
		s.MaxQueued, s.QueuesPerClass = rapid.IntRange(1, 20).Draw(rt, "waiting"), rapid.IntRange(1, 4).Draw(rt, "buckets")
		w := newWorld(t, s)
		var all []Ticket
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			w.now += Time(rapid.SampledFrom([]int{0, 1, 10 * ms, 400 * ms, 20 * sec}).Draw(rt, "pass"))
			switch rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0, 1, 2:
				r := Request{Tenant: rapid.IntRange(0, len(s.Tenants)-1).Draw(rt, "tenant"), Class: rapid.IntRange(0, 1).Draw(rt, "class"),
					Client: uint64(rapid.IntRange(0, 9).Draw(rt, "client")), IsRetry: rapid.Bool().Draw(rt, "repeat"),
					Work:     Time(rapid.SampledFrom([]int{0, 1, 100 * ms, 1 << 40}).Draw(rt, "work")),
					Deadline: w.now + Time(rapid.SampledFrom([]int{-sec, 0, 100 * ms, 60 * sec}).Draw(rt, "left"))}
				if r.Deadline == 0 {
					r.Deadline = 1
				}
				all = append(all, w.arrive(r))
			case 3:
				if len(w.inside) > 0 {
					w.leave()
				}
			case 4:
				if len(all) > 0 {
					a := all[rapid.IntRange(0, len(all)-1).Draw(rt, "abandon")]
					delete(w.waits, a)
					w.take(w.d.Cancel(w.now, a, nil))
				}
			case 5:
				w.take(w.d.Tick(w.now, nil))
			}
			check(rt, w)
		}
		for len(w.inside) > 0 {
			w.leave()
			check(rt, w)
		}
		if len(w.waits) > 0 {
			rt.Fatalf("%d requests without a decision", len(w.waits))
		}
	})
}

func check(t *rapid.T, w *world) {
	d := w.d
	waits, states := 0, [3]int{}
	for i := range d.entries {
		states[d.entries[i].state]++
	}
	for i := range d.tenants {
		tn := &d.tenants[i]
		waits += tn.queued
		if n := d.tenantOrder.flows[i].queued; n != tn.queued {
			t.Fatalf("tenant %d: %d wait, its flow says %d", i, tn.queued, n)
		}
	}
	if waits != d.queued || states[stateQueued] != waits || len(d.admitByHeap) != waits || waits > d.settings.MaxQueued || len(w.waits) != waits {
		t.Fatalf("%d wait, %d by tenants, %d by places, %d by ends, %d by the world, of %d", d.queued, waits, states[stateQueued], len(d.admitByHeap),
			len(w.waits), d.settings.MaxQueued)
	}
	if states[stateInFlight] != d.inFlight || d.inFlight != len(w.inside) {
		t.Fatalf("%d inside, %d by places, %d by the world", d.inFlight, states[stateInFlight], len(w.inside))
	}
	if waits > 0 && d.inFlight == 0 {
		t.Fatal("requests wait and nothing is inside")
	}
	if waits > 0 && d.entries[d.admitByHeap[0]].admitBy < d.now {
		t.Fatal("one waits past its end")
	}
}

// BenchmarkDoor is the cost of one request, arrival to end, with others waiting.
func BenchmarkDoor(b *testing.B) {
	for _, queued := range []int{0, 10, 10_000} {
		b.Run(fmt.Sprint("queued=", queued), func(b *testing.B) {
			s := settings(1, 2, 3, 4, 10)
			s.MaxQueued = 20_000
			d, err := New(s)
			if err != nil {
				b.Fatal(err)
			}
			now := Time(sec)
			inside := make([]Ticket, 0, 64)
			out := make([]Action, 0, 64)
			take := func() {
				for _, a := range out {
					if a.Kind == Admit {
						inside = append(inside, a.Ticket)
					}
				}
			}
			n := uint64(0)
			arrive := func() {
				n++
				_, out = d.Submit(now, Request{Tenant: int(n % 5), Class: int(n >> 3 & 1), Client: splitMix64(n), Deadline: now + 3600*sec}, out[:0])
				take()
			}
			for range queued + 4 {
				arrive()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now += 100
				arrive()
				t := inside[0]
				inside = append(inside[:0], inside[1:]...)
				out = d.Finish(now, t, true, out[:0])
				take()
			}
		})
	}
}

// TestPastTheRateComesLast keeps one tenant at three times its rate: what is within goes in, what is past it pays.
func TestPastTheRateComesLast(t *testing.T) {
	s := settings(1)
	s.Tenants[0].Rate, s.MaxQueued = 20, 30
	w := newWorld(t, s)
	within, in := 0, 0
	for step := range 3000 { // a request each 16 ms, an end each 25 ms: 60 and 40 a second
		before := w.d.tenants[0].quotaTokens
		ticket := w.arrive(Request{Client: uint64(step), Deadline: w.now + 2*sec})
		if within20 := w.d.tenants[0].quotaTokens < before; within20 || before >= 1 {
			within++
			if a := w.decided[ticket]; w.waits[ticket] || a.Kind == Admit {
				in++
			}
		}
		w.now += 16_667
		if len(w.inside) > 0 && step%3 != 0 {
			w.leave()
		}
	}
	if within < 900 || in < within*98/100 {
		t.Errorf("of %d within the rate %d found a place", within, in)
	}
}

// returns plays a door under overload whose refused clients come back as told (or after a fixed time) and say so, and
// returns the share of those that then went in.
func returns(t *testing.T, overload float64, fixed Time) float64 {
	s := settings(1)
	s.MaxQueued, s.RetryRatio = 16, 10
	w := newWorld(t, s)
	g := rand.New(rand.NewPCG(5, 6))
	var due []Time
	came, in := 0, 0
	back := map[Ticket]bool{}
	for range 60_000 { // of 1 ms
		w.now += ms
		var now int
		for i := 0; i < len(due); i++ {
			if due[i] <= w.now {
				due[i] = due[len(due)-1]
				due = due[:len(due)-1]
				i--
				now++
			}
		}
		fresh := 0
		if g.Float64() < 0.04*overload {
			fresh = 1
		}
		for i := range now + fresh {
			ticket := w.arrive(Request{Client: g.Uint64(), Deadline: w.now + sec, IsRetry: i < now})
			if back[ticket] = i < now; i < now {
				came++
			}
		}
		if len(w.inside) > 0 && w.now%(25*ms) == 0 {
			w.leave()
		}
		w.take(w.d.Tick(w.now, nil))
		for ticket, a := range w.decided {
			switch {
			case a.Kind == Admit && back[ticket]:
				in++
			case a.Kind == Reject && !back[ticket]: // who is refused twice gives up
				after := a.RetryAfter
				if fixed > 0 {
					after = fixed
				}
				if after == 0 { // told nothing: it does not come back
					break
				}
				due = append(due, w.now+after)
			}
			delete(back, ticket)
		}
		clear(w.decided)
	}
	return float64(in) / float64(max(1, came))
}

// TestThoseWhoComeBackWhenToldFindRoom: the figures stand in docs/admission.md.
func TestThoseWhoComeBackWhenToldFindRoom(t *testing.T) {
	for _, overload := range []float64{2, 10} {
		told, fixed := returns(t, overload, 0), returns(t, overload, sec)
		t.Logf("%v times overload: %.3f of those told went in, %.3f of those with a fixed second", overload, told, fixed)
		if told < 0.95 || told < fixed {
			t.Errorf("%v times overload: %.3f of those told went in, %.3f of those with a fixed second", overload, told, fixed)
		}
	}
}
