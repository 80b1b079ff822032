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

// newProductNode creates a node with the product's policy.
func newProductNode(set policy.Settings, seed uint64, _ *model.Oracle) (model.Node, error) {
	return policy.New(set, seed)
}

// recordDigest is a digest over all fields of all records of a run.
type recordDigest struct{ digest [32]byte }

func (h *recordDigest) Observe(r *model.Record) {
	text, _ := json.Marshal(r)
	h.digest = sha256.Sum256(append(h.digest[:], text...))
}

// scenarioWithOverlappingFaults returns a scenario with overlapping faults of most kinds, affecting servers, proxies,
// clients, the network and discovery.
func scenarioWithOverlappingFaults() model.Scenario {
	sc := model.DefaultScenario()
	sc.Duration, sc.Discovery.WatchLifetime, sc.BurstFactor, sc.BurstTime = 20*sec, 5*sec, 2, 1*sec
	sc.Faults = []model.Fault{
		{Kind: model.FaultHang, Start: 3 * sec, Duration: 4 * sec, AffectedShare: 0.2},
		{Kind: model.FaultDeploy, Start: 4 * sec, Duration: 12 * sec, AffectedShare: 0.9, Magnitude: 0.2, Interval: 2 * sec,
			NewIDs: true},
		{Kind: model.FaultProxyKill, Start: 8 * sec, Duration: 1 * sec, AffectedShare: 0.5, Interval: 2 * sec},
		{Kind: model.FaultRestart, Start: 9 * sec, Duration: 1 * sec, AffectedShare: 0.2, Interval: 1 * sec},
		{Kind: model.FaultZoneIsolated, Start: 10 * sec, Duration: 3 * sec},
		{Kind: model.FaultReconnectStorm, Start: 12 * sec, Duration: 2 * sec, AffectedShare: 1, Interval: 500 * ms},
		{Kind: model.FaultDiscoveryZoneOutage, Start: 6 * sec, Duration: 8 * sec},
		{Kind: model.FaultRetryStorm, Start: 13 * sec, Duration: 4 * sec, Magnitude: 3},
		{Kind: model.FaultTenantFlood, Start: 14 * sec, Duration: 3 * sec, Magnitude: 2},
		{Kind: model.FaultNoisyNeighbour, Start: 2 * sec, Duration: 16 * sec, AffectedShare: 0.3, Magnitude: 0.5,
			Interval: 2 * sec},
		{Kind: model.FaultSlowdown, Start: 5 * sec, Duration: 9 * sec, AffectedShare: 0.1, Magnitude: 0.7},
		{Kind: model.FaultErrors, Start: 7 * sec, Duration: 9 * sec, AffectedShare: 0.1, Magnitude: 0.6},
		{Kind: model.FaultReportDelay, Start: 7 * sec, Duration: 9 * sec, AffectedShare: 1, Magnitude: 2},
		{Kind: model.FaultPartition, Start: 15 * sec, Duration: 2 * sec, From: "proxy:0", To: "server:3"},
		{Kind: model.FaultDiscoveryOutage, Start: 16 * sec, Duration: 2 * sec},
	}
	return sc
}

// TestRun_SameSeedSameRecords runs a scenario four times in parallel. Runs with the same seed must give the same
// records; a run with another seed must not.
func TestRun_SameSeedSameRecords(t *testing.T) {
	for name, newNode := range map[string]model.NodeFactory{
		"product":        newProductNode,
		"least requests": baseline.NewFactory(baseline.PolicyLeastRequests),
		"oracle":         baseline.NewFactory(baseline.PolicyOracle),
	} {
		var runs [4]recordDigest
		var wg sync.WaitGroup
		for i := range runs {
			wg.Go(func() {
				sc := scenarioWithOverlappingFaults()
				seed := uint64(7 + i/3) // the last run has another seed
				if _, err := model.Run(&sc, seed, newNode, &runs[i]); err != nil {
					t.Error(name, err)
				}
			})
		}
		wg.Wait()
		if runs[0] != runs[1] || runs[1] != runs[2] {
			t.Errorf("%s: the same seed gave different records", name)
		}
		if runs[2] == runs[3] {
			t.Errorf("%s: another seed gave the same records", name)
		}
	}
}

// invariantNode wraps a node and fails the test if the simulator violates its contract: the clock goes back, an event
// names a request that this generation of the proxy never received, or an attempt has a second outcome.
type invariantNode struct {
	model.Node
	t        *testing.T
	now      model.Time
	received map[uint64]bool // requests of this generation
	inFlight map[string]bool // attempts
	sent     map[uint64]int  // attempts by request
}

func (s *invariantNode) Handle(now model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	if now < s.now {
		s.t.Errorf("the clock went back from %d to %d", s.now, now)
	}
	s.now = now
	switch ev.Kind {
	case policy.RequestArrived:
		if s.received[ev.ID] {
			s.t.Errorf("request %d arrived twice", ev.ID)
		}
		s.received[ev.ID] = true
	case policy.AttemptEnded:
		key := fmt.Sprint(ev.ID, ev.Attempt)
		if !s.inFlight[key] {
			s.t.Errorf("at %d: an outcome of attempt %s, which is not in flight in this generation", now, key)
		}
		delete(s.inFlight, key)
	case policy.RequestAbandoned:
		if !s.received[ev.ID] {
			s.t.Errorf("request %d was abandoned but never arrived", ev.ID)
		}
	}
	out = s.Node.Handle(now, ev, out)
	for _, a := range out {
		if a.Kind == policy.SendAttempt {
			s.inFlight[fmt.Sprint(a.ID, s.sent[a.ID])] = true
			s.sent[a.ID]++
		}
	}
	return out
}

// TestRun_InvariantsUnderOverlappingFaults runs the scenario with overlapping faults. Proxies are killed with attempts
// in flight, whose outcomes must not reach the restarted proxies. Each attempt must have at most one outcome, and the
// clock must never go back.
func TestRun_InvariantsUnderOverlappingFaults(t *testing.T) {
	sc := scenarioWithOverlappingFaults()
	starts := 0
	check := checker.New(&sc)
	_, err := model.Run(&sc, 3, func(set policy.Settings, seed uint64, _ *model.Oracle) (model.Node, error) {
		starts++
		b, err := policy.New(set, seed)
		return &invariantNode{Node: b, t: t, received: map[uint64]bool{}, inFlight: map[string]bool{},
			sent: map[uint64]int{}}, err
	}, check)
	if err != nil {
		t.Fatal(err)
	}
	rep, err := check.Report()
	if err != nil {
		t.Fatal(err)
	}
	if starts != sc.Proxies+sc.Proxies/2 {
		t.Errorf("%d proxy starts, want %d", starts, sc.Proxies+sc.Proxies/2)
	}
	if rep.ColdStarts < 10 || rep.Requests < 4000 {
		t.Errorf("%d cold starts, %d requests: too few for a meaningful run", rep.ColdStarts, rep.Requests)
	}
	if got := rep.InTime + rep.Late + rep.Unserved; got != rep.Requests {
		t.Errorf("%d of %d requests ended", got, rep.Requests)
	}
	if !rep.HasNoViolations() {
		t.Errorf("the policy violates rules: %v", rep.Violations)
	}
}

// TestRun_ProcessorSharingMatchesTheory compares the simulator with queueing theory. The mean time in an M/G/1 queue
// with processor sharing is the mean work divided by 1 - load, for any distribution of the work (Kleinrock, Queueing
// Systems II, 4.4).
func TestRun_ProcessorSharingMatchesTheory(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.8} {
		sc := model.DefaultScenario()
		sc.Duration, sc.Tick, sc.Servers, sc.Proxies, sc.Zones = 20_000*sec, 0, 1, 1, 1
		sc.Load, sc.WaveAmplitude, sc.Spread = load, 0, 0
		sc.InstanceTypes = []model.InstanceType{{Name: "one", Share: 1, Cores: 1, Speed: 1, Slots: 100_000,
			InitialCapacity: 1}}
		sc.Classes = []model.Class{{Name: "c", Share: 1, Work: 100 * ms, WorkCV: 1.5, LatencyTarget: 60 * sec,
			Deadline: 120 * sec, Value: 1, Semantics: "safe"}}
		sc.Tenants, sc.Connections.HandshakeWork, sc.Connections.CapacityTax, sc.Clients.AttemptTimeoutShare = nil, 0, 0, 1
		sc.Network = model.Network{SameZone: 1, CrossZone: 1, Client: 1}
		var sum, n float64
		if _, err := model.Run(&sc, 5, baseline.NewFactory(baseline.PolicyRandom), observerFunc(func(r *model.Record) {
			if r.Kind == model.RequestEnded && r.Served() {
				sum, n = sum+float64(r.Duration), n+1
			}
		})); err != nil {
			t.Fatal(err)
		}
		got, want := sum/n/1e3, 100/(1-load)
		if math.Abs(got/want-1) > 0.07 {
			t.Errorf("load %v: mean time %.1f ms, want %.1f ms", load, got, want)
		}
	}
}

// observerFunc implements model.Observer with a function.
type observerFunc func(r *model.Record)

func (f observerFunc) Observe(r *model.Record) { f(r) }

// TestRun_FailsOnImpossibleActions requires an error, not a hang, for actions that no proxy could carry out.
func TestRun_FailsOnImpossibleActions(t *testing.T) {
	var member uint32 // a listed server
	for _, c := range []struct {
		name, want string
		act        func(ev *policy.Event, out []policy.Action) []policy.Action
	}{
		{"timers without end", "sets timers without end", func(ev *policy.Event, out []policy.Action) []policy.Action {
			return append(out, policy.Action{Kind: policy.SetTimer, After: 0})
		}},
		{"unknown request", "names request 4194305, which it was never given",
			func(ev *policy.Event, out []policy.Action) []policy.Action {
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
		sc := model.DefaultScenario()
		sc.Duration, sc.Tick = 5*sec, 0
		newNode := func(policy.Settings, uint64, *model.Oracle) (model.Node, error) { return nodeFunc(c.act), nil }
		_, err := model.Run(&sc, 1, newNode, observerFunc(func(*model.Record) {}))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "at ") {
			t.Errorf("%s: error %v, want one with %q and its time", c.name, err, c.want)
		}
	}
}

// nodeFunc implements model.Node with a function.
type nodeFunc func(ev *policy.Event, out []policy.Action) []policy.Action

func (a nodeFunc) Handle(_ model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	return a(ev, out)
}

// broadcaster is a node that sends a message to all other nodes for each request and counts the messages that it
// receives.
type broadcaster struct {
	model.Node
	ordinal int
	counts  *messageCounts // of all broadcasters
	outbox  []model.PeerMessage
}

type messageCounts struct {
	received    int
	wrongSender int // messages from itself, or whose sender differs from the one in the text
}

func (g *broadcaster) Handle(now model.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	if ev.Kind == policy.RequestArrived {
		g.outbox = append(g.outbox, model.PeerMessage{To: -1, Text: []byte{byte(g.ordinal)}})
	}
	return g.Node.Handle(now, ev, out)
}

func (g *broadcaster) Receive(_ model.Time, from int, text []byte, out []policy.Action) []policy.Action {
	g.counts.received++
	if from == g.ordinal || int(text[0]) != from {
		g.counts.wrongSender++
	}
	return out
}

func (g *broadcaster) TakeMessages() []model.PeerMessage {
	messages := g.outbox
	g.outbox = g.outbox[:0]
	return messages
}

func TestRun_PeerMessageLoss(t *testing.T) {
	sc := model.DefaultScenario()
	sc.Duration, sc.Network.PeerLoss = 5*sec, 0.25
	var counts messageCounts
	requests := 0
	if _, err := model.Run(&sc, 1, func(set policy.Settings, seed uint64, _ *model.Oracle) (model.Node, error) {
		b, err := policy.New(set, seed)
		return &broadcaster{Node: b, ordinal: set.Ordinal, counts: &counts}, err
	}, observerFunc(func(r *model.Record) {
		if r.Kind == model.RequestReceived {
			requests++
		}
	})); err != nil {
		t.Fatal(err)
	}
	share := float64(counts.received) / float64(requests*(sc.Proxies-1))
	if math.Abs(share-0.75) > 0.03 || counts.wrongSender > 0 {
		t.Errorf("%.3f of the messages arrived, want 0.75; %d with a wrong sender", share, counts.wrongSender)
	}
}
