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

func decider(set policy.Settings, seed uint64, _ *model.Truth) (model.Node, error) {
	return policy.New(set, seed)
}

// hashed is a digest of all records of a play, to the last field.
type hashed struct{ digest [32]byte }

func (h *hashed) See(r *model.Record) {
	text, _ := json.Marshal(r)
	h.digest = sha256.Sum256(append(h.digest[:], text...))
}

func rough() model.World {
	w := model.Quotes()
	w.Length, w.Discovery.BreakIn, w.Burst, w.BurstOn = 20*sec, 5*sec, 2, 1*sec
	w.Troubles = []model.Trouble{
		{Kind: "hang", At: 3 * sec, For: 4 * sec, Part: 0.2},
		{Kind: "deploy", At: 4 * sec, For: 12 * sec, Part: 0.9, Size: 0.2, Every: 2 * sec, Fresh: true},
		{Kind: "proxy_kill", At: 8 * sec, For: 1 * sec, Part: 0.5, Every: 2 * sec},
		{Kind: "restart", At: 9 * sec, For: 1 * sec, Part: 0.2, Every: 1 * sec},
		{Kind: "zone_cut", At: 10 * sec, For: 3 * sec},
		{Kind: "reconnect_storm", At: 12 * sec, For: 2 * sec, Part: 1, Every: 500 * ms},
		{Kind: "discovery_zone", At: 6 * sec, For: 8 * sec},
		{Kind: "retry_storm", At: 13 * sec, For: 4 * sec, Size: 3},
		{Kind: "flood", At: 14 * sec, For: 3 * sec, Size: 2},
		{Kind: "neighbour", At: 2 * sec, For: 16 * sec, Part: 0.3, Size: 0.5, Every: 2 * sec},
		{Kind: "gray", At: 5 * sec, For: 9 * sec, Part: 0.1, Size: 0.7},
		{Kind: "fast_errors", At: 7 * sec, For: 9 * sec, Part: 0.1, Size: 0.6},
		{Kind: "report_late", At: 7 * sec, For: 9 * sec, Part: 1, Size: 2},
		{Kind: "cut", At: 15 * sec, For: 2 * sec, From: "proxy:0", To: "server:3"},
		{Kind: "discovery", At: 16 * sec, For: 2 * sec},
	}
	return w
}

// TestSameSeedSameRecords plays everything at once four times side by side and compares all that passed.
func TestSameSeedSameRecords(t *testing.T) {
	for name, mk := range map[string]model.Maker{"decide": decider, "least": baseline.Maker(baseline.Least), "truth": baseline.Maker(baseline.Truth)} {
		var plays [4]hashed
		var wg sync.WaitGroup
		for i := range plays {
			wg.Go(func() {
				w := rough()
				if _, err := model.Play(&w, uint64(7+i/3), mk, &plays[i]); err != nil {
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
	_, err := model.Play(&w, 3, func(set policy.Settings, seed uint64, _ *model.Truth) (model.Node, error) {
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
	if rep.ColdStarts < 10 || rep.Calls < 4000 {
		t.Errorf("%d cold starts, %d calls: too calm to show anything", rep.ColdStarts, rep.Calls)
	}
	if got := rep.InTime + rep.Late + rep.Unserved; got != rep.Calls {
		t.Errorf("%d calls ended of %d", got, rep.Calls)
	}
	if !rep.Kept() {
		t.Errorf("decide breaks rules: %v", rep.Breaches)
	}
}

// TestProcessorSharing compares the model with theory: the mean time in an M/G/1 queue with processor sharing is the
// mean work over 1 - load, whatever the distribution of the work (Kleinrock, Queueing Systems II, 4.4).
func TestProcessorSharing(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.8} {
		w := model.Quotes()
		w.Length, w.Tick, w.Servers, w.Proxies, w.Zones, w.Load, w.Swing, w.Spread = 20_000*sec, 0, 1, 1, 1, load, 0, 0
		w.Kinds = []model.Kind{{Name: "one", Share: 1, Cores: 1, Speed: 1, Slots: 100_000, ColdFrom: 1}}
		w.Classes = []model.Class{{Name: "c", Share: 1, Work: 100 * ms, CV: 1.5, Aim: 60 * sec, Deadline: 120 * sec, Worth: 1, Effect: "safe"}}
		w.Tenants, w.Conn.Work, w.Conn.Tax, w.Clients.Patience = nil, 0, 0, 1
		w.Net = model.Net{Same: 1, Cross: 1, Client: 1}
		var sum, n float64
		if _, err := model.Play(&w, 5, baseline.Maker(baseline.Random), see(func(r *model.Record) {
			if r.Kind == model.CallOver && r.Flag {
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

type see func(r *model.Record)

func (f see) See(r *model.Record) { f(r) }

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
		w := model.Quotes()
		w.Length, w.Tick = 5*sec, 0
		_, err := model.Play(&w, 1, func(policy.Settings, uint64, *model.Truth) (model.Node, error) { return acting(c.act), nil }, see(func(*model.Record) {}))
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
		w := model.Quotes()
		w.Length, w.Clients.Reckless, w.Clients.Patience = 20*sec, reckless, 0.3
		w.Troubles = []model.Trouble{{Kind: "hang", At: 5 * sec, For: 3 * sec, Part: 0.5}}
		ref := checker.New(&w)
		if _, err := model.Play(&w, 2, baseline.Maker(baseline.TwoChoices), ref); err != nil {
			t.Fatal(err)
		}
		rep, _ := ref.Report()
		if !rep.Kept() {
			t.Errorf("the proxies kept the rules, the referee says %v", rep.Breaches)
		}
		if (rep.Twice > 0) != (reckless > 0) {
			t.Errorf("reckless %v: %d double effects", reckless, rep.Twice)
		}
		for _, b := range rep.TwiceCauses {
			if !strings.Contains(b.Cause, "its client asked again") {
				t.Errorf("wrong cause: %s", b.Cause)
			}
		}
	}
}

// TestAServerThatFallsWhileItDrainsHasASuccessor pushes servers that drain over, being cold still from an earlier deploy.
func TestAServerThatFallsWhileItDrainsHasASuccessor(t *testing.T) {
	w := model.Quotes()
	w.Length, w.Load = 20*sec, 0.25
	w.Troubles = []model.Trouble{
		{Kind: "deploy", At: 2 * sec, For: 1 * sec, Part: 1, Size: 1, Every: 1 * sec},
		{Kind: "deploy", At: 5 * sec, For: 1 * sec, Part: 1, Size: 1, Every: 8 * sec},
		{Kind: "flood", At: 6 * sec, For: 4 * sec, Size: 8},
	}
	w.Discovery.Notice = 20 * sec // so that they get work while they drain
	fell, followed := map[uint32]model.Time{}, 0
	if _, err := model.Play(&w, 4, baseline.Maker(baseline.Random), see(func(r *model.Record) {
		switch r.Kind {
		case model.Fell:
			fell[r.Server] = r.At
		case model.Started:
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
	play := func(trouble model.Trouble) (c count, rep *checker.Report) {
		w := model.Quotes()
		w.Length, w.Servers, w.Proxies, w.Skew, w.Load, w.Discovery.Calls = 20*sec, 16, 20, 0, 0.3, 1000
		w.Troubles = []model.Trouble{trouble}
		c = count{map[uint32]int{}, map[uint32]int{}, map[uint32]int{}, map[uint32]int{}, 0}
		ref := checker.New(&w)
		if _, err := model.Play(&w, 1, baseline.Maker(baseline.TwoChoices), see(func(r *model.Record) {
			ref.See(r)
			switch {
			case r.Kind == model.Started:
				c.started[uint32(r.Zone)]++
			case r.Kind == model.ProxyUp && r.At > 0:
				c.up[uint32(r.Proxy)]++
			case r.Kind == model.ProxyDown:
				c.down++
			case r.Kind == model.Sent:
				c.sent[r.Server]++
			case r.Kind == model.CallMade && r.At > model.Time(trouble.At) && r.At < model.Time(trouble.At+trouble.For):
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
	if c, _ := play(model.Trouble{Kind: "zone_lost", At: 5 * sec, Every: 3 * sec, From: "zone:2"}); len(c.started) != 1 || c.started[2] < 4 {
		t.Errorf("zone_lost: servers started by zone: %v", c.started)
	}
	c, rep := play(model.Trouble{Kind: "proxy_roll", At: 2 * sec, For: 10 * sec, Part: 1, Size: 0.2, Every: sec / 2})
	if len(c.up) != 20 || c.down != 20 || rep.Answers.Failed > rep.Calls/200 || rep.ListedIn95 <= 0 {
		t.Errorf("proxy_roll: %d of 20 started anew, %d went, %d of %d requests failed, lists within %v s", len(c.up), c.down,
			rep.Answers.Failed, rep.Calls, rep.ListedIn95)
	}
	c, _ = play(model.Trouble{Kind: "shift", At: 5 * sec, For: 5 * sec, From: "zone:3", Size: 3})
	if others := float64(c.made[0]+c.made[1]+c.made[2]) / 3; float64(c.made[3]) < 2.5*others || float64(c.made[3]) > 3.5*others {
		t.Errorf("shift: calls by zone: %v", c.made)
	}
	c, _ = play(model.Trouble{Kind: "deploy", At: 2 * sec, For: 2 * sec, Part: 1, Size: 1, Every: sec, Fresh: true})
	if len(c.sent) != 32 {
		t.Errorf("deploy under new names: %d servers got work, want 16 and their successors", len(c.sent))
	}
}

// gossip tells the others what it hears of, to count what arrives.
type gossip struct {
	model.Node
	ordinal int
	got     *[2]int // messages, messages from itself
	post    []model.Letter
}

func (g *gossip) Handle(now model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	if ev.Kind == policy.RequestArrived {
		g.post = append(g.post, model.Letter{To: -1, Text: []byte{byte(g.ordinal)}})
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

func (g *gossip) Post() []model.Letter {
	post := g.post
	g.post = g.post[:0]
	return post
}

func TestMessagesBetweenProxiesAreLostAndLate(t *testing.T) {
	w := model.Quotes()
	w.Length, w.Net.Loss = 5*sec, 0.25
	var got [2]int
	taken := 0
	if _, err := model.Play(&w, 1, func(set policy.Settings, seed uint64, _ *model.Truth) (model.Node, error) {
		b, err := policy.New(set, seed)
		return &gossip{Node: b, ordinal: set.Ordinal, got: &got}, err
	}, see(func(r *model.Record) {
		if r.Kind == model.Taken {
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
	for path, change := range map[string]func(w *model.World){
		"servers":            func(w *model.World) { w.Servers = 0 },
		"load":               func(w *model.World) { w.Load = math.NaN() },
		"kinds.1.cores":      func(w *model.World) { w.Kinds[1].Cores = -1 },
		"classes.2.effect":   func(w *model.World) { w.Classes[2].Effect = "some" },
		"classes.0.deadline": func(w *model.World) { w.Classes[0].Deadline = 1 },
		"trouble.0.kind":     func(w *model.World) { w.Troubles = []model.Trouble{{Kind: "flu"}} },
		"trouble.0.from":     func(w *model.World) { w.Troubles = []model.Trouble{{Kind: "cut", From: "zone:x", To: "servers"}} },
		"trouble.0.size":     func(w *model.World) { w.Troubles = []model.Trouble{{Kind: "gray", Size: 1.5}} },
		"discovery.break_in": func(w *model.World) { w.Discovery.BreakIn = -1 },
		"clients.over_share": func(w *model.World) { w.Clients.OverShare = 2 },
	} {
		w := model.Quotes()
		change(&w)
		var at *model.FieldError
		if err := w.Check(); err == nil || !strings.HasPrefix(err.Error(), path+": ") {
			t.Errorf("%s: %v (%v)", path, err, at)
		}
	}
	w := model.Quotes()
	if err := w.Check(); err != nil {
		t.Error(err)
	}
}

// BenchmarkPlay says what an event costs by the size of the fleet, with a twentieth as many proxies (four at least).
func BenchmarkPlay(b *testing.B) {
	for _, servers := range []int{12, 100, 1000, 10000} {
		for _, policy := range []string{"decide", "least"} {
			b.Run(fmt.Sprintf("servers=%d/%s", servers, policy), func(b *testing.B) {
				w := model.Quotes()
				w.Servers, w.Proxies, w.Length = servers, max(4, servers/100), 10*sec
				w.Discovery.Calls = 1000
				if servers >= 1000 {
					w.Length = 2 * sec
				}
				mk := model.Maker(decider)
				if policy != "decide" {
					mk = baseline.Maker(policy)
				}
				events, end, calls := int64(0), 0.0, int64(0)
				for i := range b.N {
					st, err := model.Play(&w, uint64(i+1), mk, see(func(*model.Record) {}))
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
