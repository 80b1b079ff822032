package model_test

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"

	"pumiceline/internal/fleetsim/baseline"
	"pumiceline/internal/fleetsim/checker"
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

const ms, sec = 1000, 1_000_000

func decider(set policy.Settings, seed uint64, _ *model.Oracle) (model.Node, error) {
	return policy.New(set, seed)
}

// hashed is a digest of all records of a play, to the last field.
type hashed struct{ digest [32]byte }

func (h *hashed) Observe(r *model.Record) {
	text, _ := json.Marshal(r)
	h.digest = sha256.Sum256(append(h.digest[:], text...))
}

func rough() model.Scenario {
	w := model.DefaultScenario()
	w.Duration, w.Discovery.WatchLifetime, w.BurstFactor, w.BurstTime = 20*sec, 5*sec, 2, 1*sec
	w.Faults = []model.Fault{
		{Kind: "hang", Start: 3 * sec, Duration: 4 * sec, AffectedShare: 0.2},
		{Kind: "deploy", Start: 4 * sec, Duration: 12 * sec, AffectedShare: 0.9, Magnitude: 0.2, Interval: 2 * sec, NewIDs: true},
		{Kind: "proxy_kill", Start: 8 * sec, Duration: 1 * sec, AffectedShare: 0.5, Interval: 2 * sec},
		{Kind: "restart", Start: 9 * sec, Duration: 1 * sec, AffectedShare: 0.2, Interval: 1 * sec},
		{Kind: "zone_cut", Start: 10 * sec, Duration: 3 * sec},
		{Kind: "reconnect_storm", Start: 12 * sec, Duration: 2 * sec, AffectedShare: 1, Interval: 500 * ms},
		{Kind: "discovery_zone", Start: 6 * sec, Duration: 8 * sec},
		{Kind: "retry_storm", Start: 13 * sec, Duration: 4 * sec, Magnitude: 3},
		{Kind: "flood", Start: 14 * sec, Duration: 3 * sec, Magnitude: 2},
		{Kind: "neighbour", Start: 2 * sec, Duration: 16 * sec, AffectedShare: 0.3, Magnitude: 0.5, Interval: 2 * sec},
		{Kind: "gray", Start: 5 * sec, Duration: 9 * sec, AffectedShare: 0.1, Magnitude: 0.7},
		{Kind: "fast_errors", Start: 7 * sec, Duration: 9 * sec, AffectedShare: 0.1, Magnitude: 0.6},
		{Kind: "report_late", Start: 7 * sec, Duration: 9 * sec, AffectedShare: 1, Magnitude: 2},
		{Kind: "cut", Start: 15 * sec, Duration: 2 * sec, From: "proxy:0", To: "server:3"},
		{Kind: "discovery", Start: 16 * sec, Duration: 2 * sec},
	}
	return w
}

// TestSameSeedSameRecords plays everything at once four times side by side and compares all that passed.
func TestSameSeedSameRecords(t *testing.T) {
	for name, mk := range map[string]model.NodeFactory{"decide": decider, "least": baseline.NewFactory(baseline.PolicyLeastRequests), "truth": baseline.NewFactory(baseline.PolicyOracle)} {
		var plays [4]hashed
		var wg sync.WaitGroup
		for i := range plays {
			wg.Go(func() {
				w := rough()
				if _, err := model.Run(&w, uint64(7+i/3), mk, &plays[i]); err != nil {
					t.Error(name, err)
				}
			})
		}
		wg.Wait()
		if plays[0] != plays[1] || plays[1] != plays[2] {
			t.Errorf("%s: the same seed gave other records", name)
		}
		if plays[2] == plays[3] {
			t.Errorf("%s: another seed gave the same records", name)
		}
	}
}

// strict wraps a node and fails the test where the world breaks its promises: a clock that goes back, news of requests
// that this incarnation never had, a second outcome.
type strict struct {
	model.Node
	t    *testing.T
	now  model.Time
	had  map[uint64]bool
	out  map[string]bool
	sent map[uint64]int
}

func (s *strict) Handle(now model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	if now < s.now {
		s.t.Errorf("the clock went back from %d to %d", s.now, now)
	}
	s.now = now
	switch ev.Kind {
	case policy.RequestArrived:
		if s.had[ev.ID] {
			s.t.Errorf("request %d came twice", ev.ID)
		}
		s.had[ev.ID] = true
	case policy.AttemptEnded:
		key := fmt.Sprint(ev.ID, ev.Attempt)
		if !s.out[key] {
			s.t.Errorf("at %d: an outcome of attempt %s, which is not out at this incarnation", now, key)
		}
		delete(s.out, key)
	case policy.RequestAbandoned:
		if !s.had[ev.ID] {
			s.t.Errorf("request %d departed and never came", ev.ID)
		}
	}
	out = s.Node.Handle(now, ev, out)
	for _, a := range out {
		if a.Kind == policy.SendAttempt {
			s.out[fmt.Sprint(a.ID, s.sent[a.ID])] = true
			s.sent[a.ID]++
		}
	}
	return out
}

// TestWorldKeepsItsPromisesInTheRough plays all troubles at once: proxies are killed with attempts out, and what comes
// for those must not reach their successors; each attempt has one outcome; the clock never goes back.
func TestWorldKeepsItsPromisesInTheRough(t *testing.T) {
	w := rough()
	starts := 0
	ref := checker.New(&w)
	_, err := model.Run(&w, 3, func(set policy.Settings, seed uint64, _ *model.Oracle) (model.Node, error) {
		starts++
		b, err := policy.New(set, seed)
		return &strict{Node: b, t: t, had: map[uint64]bool{}, out: map[string]bool{}, sent: map[uint64]int{}}, err
	}, ref)
	if err != nil {
		t.Fatal(err)
	}
	rep, err := ref.Report()
	if err != nil {
		t.Fatal(err)
	}
	if starts != w.Proxies+w.Proxies/2 {
		t.Errorf("%d starts of proxies, want %d", starts, w.Proxies+w.Proxies/2)
	}
	if rep.ColdStarts < 10 || rep.Requests < 4000 {
		t.Errorf("%d cold starts, %d calls: too calm to show anything", rep.ColdStarts, rep.Requests)
	}
	if got := rep.InTime + rep.Late + rep.Unserved; got != rep.Requests {
		t.Errorf("%d calls ended of %d", got, rep.Requests)
	}
	if !rep.HasNoViolations() {
		t.Errorf("decide breaks rules: %v", rep.Violations)
	}
}

// TestProcessorSharing compares the model with theory: the mean time in an M/G/1 queue with processor sharing is the
// mean work over 1 - load, whatever the distribution of the work (Kleinrock, Queueing Systems II, 4.4).
func TestProcessorSharing(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.8} {
		w := model.DefaultScenario()
		w.Duration, w.Tick, w.Servers, w.Proxies, w.Zones, w.Load, w.WaveAmplitude, w.Spread = 20_000*sec, 0, 1, 1, 1, load, 0, 0
		w.InstanceTypes = []model.InstanceType{{Name: "one", Share: 1, Cores: 1, Speed: 1, Slots: 100_000, InitialCapacity: 1}}
		w.Classes = []model.Class{{Name: "c", Share: 1, Work: 100 * ms, WorkCV: 1.5, LatencyTarget: 60 * sec, Deadline: 120 * sec, Value: 1, Semantics: "safe"}}
		w.Tenants, w.Connections.HandshakeWork, w.Connections.CapacityTax, w.Clients.AttemptTimeoutShare = nil, 0, 0, 1
		w.Network = model.Network{SameZone: 1, CrossZone: 1, Client: 1}
		var sum, n float64
		if _, err := model.Run(&w, 5, baseline.NewFactory(baseline.PolicyRandom), observerFunc(func(r *model.Record) {
			if r.Kind == model.RequestEnded && r.Flag {
				sum, n = sum+float64(r.Span), n+1
			}
		})); err != nil {
			t.Fatal(err)
		}
		got, want := sum/n/1e3, 100/(1-load)
		if math.Abs(got/want-1) > 0.07 {
			t.Errorf("load %v: mean time %.1f ms, theory says %.1f ms", load, got, want)
		}
	}
}

type observerFunc func(r *model.Record)

func (f observerFunc) Observe(r *model.Record) { f(r) }

// TestBadDecidersEndTheRun shows that what no proxy could carry out ends the run with a plain error, not with a hang.
func TestBadDecidersEndTheRun(t *testing.T) {
	for _, c := range []struct {
		name, want string
		act        func(ev *policy.Event, out []policy.Action) []policy.Action
	}{
		{"timers without end", "sets timers without end", func(ev *policy.Event, out []policy.Action) []policy.Action {
			return append(out, policy.Action{Kind: policy.SetTimer, After: 0})
		}},
		{"unknown request", "names request 4194305, which it was never given", func(ev *policy.Event, out []policy.Action) []policy.Action {
			return append(out, policy.Action{Kind: policy.RejectRequest, ID: 1<<22 | 1})
		}},
		{"unknown server", "which no list has named", func(ev *policy.Event, out []policy.Action) []policy.Action {
			if ev.Kind != policy.RequestArrived {
				return out
			}
			return append(out, policy.Action{Kind: policy.SendAttempt, ID: ev.ID, Server: 12345})
		}},
		{"unknown action", "does not know", func(ev *policy.Event, out []policy.Action) []policy.Action {
			return append(out, policy.Action{Kind: 200})
		}},
		{"too many attempts", "makes attempt 4", func(ev *policy.Event, out []policy.Action) []policy.Action {
			if len(ev.Members) > 0 {
				member = ev.Members[0].Server
			}
			if ev.Kind == policy.RequestArrived {
				for range 4 {
					out = append(out, policy.Action{Kind: policy.SendAttempt, ID: ev.ID, Server: member})
				}
			}
			return out
		}},
	} {
		w := model.DefaultScenario()
		w.Duration, w.Tick = 5*sec, 0
		_, err := model.Run(&w, 1, func(policy.Settings, uint64, *model.Oracle) (model.Node, error) { return acting(c.act), nil }, observerFunc(func(*model.Record) {}))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "at ") {
			t.Errorf("%s: error %v, want one with %q and its time", c.name, err, c.want)
		}
	}
}

var member uint32

type acting func(ev *policy.Event, out []policy.Action) []policy.Action

func (a acting) Handle(_ model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	return a(ev, out)
}

// TestDoubleEffectThroughAnotherProxy lets clients that do not ask whether they may send keyed requests again while the
// first copy hangs: the referee must see the double effect, and whose it was.
func TestDoubleEffectThroughAnotherProxy(t *testing.T) {
	for _, reckless := range []float64{0, 1} {
		w := model.DefaultScenario()
		w.Duration, w.Clients.UnsafeRetryShare, w.Clients.AttemptTimeoutShare = 20*sec, reckless, 0.3
		w.Faults = []model.Fault{{Kind: "hang", Start: 5 * sec, Duration: 3 * sec, AffectedShare: 0.5}}
		ref := checker.New(&w)
		if _, err := model.Run(&w, 2, baseline.NewFactory(baseline.PolicyTwoChoices), ref); err != nil {
			t.Fatal(err)
		}
		rep, _ := ref.Report()
		if !rep.HasNoViolations() {
			t.Errorf("the proxies kept the rules, the referee says %v", rep.Violations)
		}
		if (rep.RepeatedEffects > 0) != (reckless > 0) {
			t.Errorf("reckless %v: %d double effects", reckless, rep.RepeatedEffects)
		}
		for _, b := range rep.RepeatedEffectCauses {
			if !strings.Contains(b.Cause, "its client asked again") {
				t.Errorf("wrong cause: %s", b.Cause)
			}
		}
	}
}

// TestAServerThatFallsWhileItDrainsHasASuccessor pushes servers that drain over, being cold still from an earlier deploy.
func TestAServerThatFallsWhileItDrainsHasASuccessor(t *testing.T) {
	w := model.DefaultScenario()
	w.Duration, w.Load = 20*sec, 0.25
	w.Faults = []model.Fault{
		{Kind: "deploy", Start: 2 * sec, Duration: 1 * sec, AffectedShare: 1, Magnitude: 1, Interval: 1 * sec},
		{Kind: "deploy", Start: 5 * sec, Duration: 1 * sec, AffectedShare: 1, Magnitude: 1, Interval: 8 * sec},
		{Kind: "flood", Start: 6 * sec, Duration: 4 * sec, Magnitude: 8},
	}
	w.Discovery.DrainDelay = 20 * sec // so that they get work while they drain
	fell, followed := map[uint32]model.Time{}, 0
	if _, err := model.Run(&w, 4, baseline.NewFactory(baseline.PolicyRandom), observerFunc(func(r *model.Record) {
		switch r.Kind {
		case model.ServerOverloaded:
			fell[r.Server] = r.At
		case model.ServerStarted:
			if at, ok := fell[r.Server]; ok && r.At == at+500*ms {
				followed++
			}
		}
	})); err != nil {
		t.Fatal(err)
	}
	if followed == 0 {
		t.Errorf("no server that fell was followed by a successor: %v", fell)
	}
}

// TestTroublesOfFleets plays what happens to fleets and looks at whom it strikes: a lost zone's servers alone, all of them, are back
// cold after the time; proxies that are told to stop get no clients from then, lose no request, and start anew; clients of one
// zone come more often and go again; successors under new names are listed and get work.
func TestTroublesOfFleets(t *testing.T) {
	type count struct {
		started, up, sent, made map[uint32]int
		down                    int
	}
	play := func(trouble model.Fault) (c count, rep *checker.Report) {
		w := model.DefaultScenario()
		w.Duration, w.Servers, w.Proxies, w.ZoneSkew, w.Load, w.Discovery.CallsPerSecond = 20*sec, 16, 20, 0, 0.3, 1000
		w.Faults = []model.Fault{trouble}
		c = count{map[uint32]int{}, map[uint32]int{}, map[uint32]int{}, map[uint32]int{}, 0}
		ref := checker.New(&w)
		if _, err := model.Run(&w, 1, baseline.NewFactory(baseline.PolicyTwoChoices), observerFunc(func(r *model.Record) {
			ref.Observe(r)
			switch {
			case r.Kind == model.ServerStarted:
				c.started[uint32(r.Zone)]++
			case r.Kind == model.ProxyStarted && r.At > 0:
				c.up[uint32(r.Proxy)]++
			case r.Kind == model.ProxyStopped:
				c.down++
			case r.Kind == model.AttemptSent:
				c.sent[r.Server]++
			case r.Kind == model.RequestStarted && r.At > model.Time(trouble.Start) && r.At < model.Time(trouble.Start+trouble.Duration):
				c.made[uint32(r.Zone)]++
			}
		})); err != nil {
			t.Fatal(err)
		}
		rep, err := ref.Report()
		if err != nil {
			t.Fatal(err)
		}
		return c, rep
	}
	if c, _ := play(model.Fault{Kind: "zone_lost", Start: 5 * sec, Interval: 3 * sec, From: "zone:2"}); len(c.started) != 1 || c.started[2] < 4 {
		t.Errorf("zone_lost: servers started by zone: %v", c.started)
	}
	c, rep := play(model.Fault{Kind: "proxy_roll", Start: 2 * sec, Duration: 10 * sec, AffectedShare: 1, Magnitude: 0.2, Interval: sec / 2})
	if len(c.up) != 20 || c.down != 20 || rep.Answers.Failed > rep.Requests/200 || rep.ListedWithinP95 <= 0 {
		t.Errorf("proxy_roll: %d of 20 started anew, %d went, %d of %d requests failed, lists within %v s", len(c.up), c.down,
			rep.Answers.Failed, rep.Requests, rep.ListedWithinP95)
	}
	c, _ = play(model.Fault{Kind: "shift", Start: 5 * sec, Duration: 5 * sec, From: "zone:3", Magnitude: 3})
	if others := float64(c.made[0]+c.made[1]+c.made[2]) / 3; float64(c.made[3]) < 2.5*others || float64(c.made[3]) > 3.5*others {
		t.Errorf("shift: calls by zone: %v", c.made)
	}
	c, _ = play(model.Fault{Kind: "deploy", Start: 2 * sec, Duration: 2 * sec, AffectedShare: 1, Magnitude: 1, Interval: sec, NewIDs: true})
	if len(c.sent) != 32 {
		t.Errorf("deploy under new names: %d servers got work, want 16 and their successors", len(c.sent))
	}
}

// gossip tells the others what it hears of, to count what arrives.
type gossip struct {
	model.Node
	ordinal int
	got     *[2]int // messages, messages from itself
	post    []model.PeerMessage
}

func (g *gossip) Handle(now model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	if ev.Kind == policy.RequestArrived {
		g.post = append(g.post, model.PeerMessage{To: -1, Text: []byte{byte(g.ordinal)}})
	}
	return g.Node.Handle(now, ev, out)
}

func (g *gossip) Receive(_ model.Time, from int, text []byte, out []policy.Action) []policy.Action {
	g.got[0]++
	if from == g.ordinal || int(text[0]) != from {
		g.got[1]++
	}
	return out
}

func (g *gossip) TakeMessages() []model.PeerMessage {
	post := g.post
	g.post = g.post[:0]
	return post
}

func TestMessagesBetweenProxiesAreLostAndLate(t *testing.T) {
	w := model.DefaultScenario()
	w.Duration, w.Network.PeerLoss = 5*sec, 0.25
	var got [2]int
	taken := 0
	if _, err := model.Run(&w, 1, func(set policy.Settings, seed uint64, _ *model.Oracle) (model.Node, error) {
		b, err := policy.New(set, seed)
		return &gossip{Node: b, ordinal: set.Ordinal, got: &got}, err
	}, observerFunc(func(r *model.Record) {
		if r.Kind == model.RequestReceived {
			taken++
		}
	})); err != nil {
		t.Fatal(err)
	}
	share := float64(got[0]) / float64(taken*(w.Proxies-1))
	if math.Abs(share-0.75) > 0.03 || got[1] > 0 {
		t.Errorf("%.3f of the messages arrived, want 0.75; %d with a wrong sender", share, got[1])
	}
}

func TestCheckNamesTheField(t *testing.T) {
	for path, change := range map[string]func(w *model.Scenario){
		"servers":            func(w *model.Scenario) { w.Servers = 0 },
		"load":               func(w *model.Scenario) { w.Load = math.NaN() },
		"kinds.1.cores":      func(w *model.Scenario) { w.InstanceTypes[1].Cores = -1 },
		"classes.2.effect":   func(w *model.Scenario) { w.Classes[2].Semantics = "some" },
		"classes.0.deadline": func(w *model.Scenario) { w.Classes[0].Deadline = 1 },
		"trouble.0.kind":     func(w *model.Scenario) { w.Faults = []model.Fault{{Kind: "flu"}} },
		"trouble.0.from":     func(w *model.Scenario) { w.Faults = []model.Fault{{Kind: "cut", From: "zone:x", To: "servers"}} },
		"trouble.0.size":     func(w *model.Scenario) { w.Faults = []model.Fault{{Kind: "gray", Magnitude: 1.5}} },
		"discovery.break_in": func(w *model.Scenario) { w.Discovery.WatchLifetime = -1 },
		"clients.over_share": func(w *model.Scenario) { w.Clients.OverQuotaValue = 2 },
	} {
		w := model.DefaultScenario()
		change(&w)
		var at *model.FieldError
		if err := w.Validate(); err == nil || !strings.HasPrefix(err.Error(), path+": ") {
			t.Errorf("%s: %v (%v)", path, err, at)
		}
	}
	w := model.DefaultScenario()
	if err := w.Validate(); err != nil {
		t.Error(err)
	}
}

// BenchmarkPlay says what an event costs by the size of the fleet, with a twentieth as many proxies (four at least).
func BenchmarkPlay(b *testing.B) {
	for _, servers := range []int{12, 100, 1000, 10000} {
		for _, policy := range []string{"decide", "least"} {
			b.Run(fmt.Sprintf("servers=%d/%s", servers, policy), func(b *testing.B) {
				w := model.DefaultScenario()
				w.Servers, w.Proxies, w.Duration = servers, max(4, servers/100), 10*sec
				w.Discovery.CallsPerSecond = 1000
				if servers >= 1000 {
					w.Duration = 2 * sec
				}
				mk := model.NodeFactory(decider)
				if policy != "decide" {
					mk = baseline.NewFactory(policy)
				}
				events, end, calls := int64(0), 0.0, int64(0)
				for i := range b.N {
					st, err := model.Run(&w, uint64(i+1), mk, observerFunc(func(*model.Record) {}))
					if err != nil {
						b.Fatal(err)
					}
					events, end, calls = events+st.Events, end+float64(st.End)/1e6, calls+st.Requests
				}
				b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
				b.ReportMetric(end/b.Elapsed().Seconds(), "x-real-time")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(calls), "ns/request")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
