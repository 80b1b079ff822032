package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// pickServers hands out n turns and returns who got them.
func pickServers(b *Balancer, n int) []uint32 {
	var got []uint32
	for range n {
		got = append(got, b.pick(&request{class: &b.settings.Classes[0], deadline: math.MaxInt64, cost: 1, maxAttempts: 9}).id)
	}
	return got
}

func TestSharesFollowWeights(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(5))
	total := 0.0
	for i, s := range b.members {
		b.setWeight(s, float64(1+i))
		total += s.weight
	}
	count := map[uint32]int{}
	const n = 30_000
	for _, id := range pickServers(b, n) {
		count[id]++
	}
	for _, s := range b.members {
		assertNear(t, "share", float64(count[s.id])/n, s.weight/total, 0.002)
	}
}

func TestTurnsAreEven(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(10))
	for _, s := range b.members {
		b.setWeight(s, 3)
	}
	last := map[uint32]int{}
	for i, id := range pickServers(b, 1000) {
		if at, ok := last[id]; ok && i-at != 10 {
			t.Fatalf("server %d waited %d turns among ten equals", id, i-at)
		}
		last[id] = i
	}
}

func TestWeightChangeMakesNoLump(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(10))
	for _, s := range b.members {
		b.setWeight(s, 1)
	}
	pickServers(b, 95)
	s := b.members[3]
	b.setWeight(s, 1e-3) // falls to nothing, then comes back to twice the others
	pickServers(b, 200)
	b.setWeight(s, 2)
	run, longest, count := 0, 0, 0
	for _, id := range pickServers(b, 110) {
		if id == s.id {
			run, count = run+1, count+1
		} else {
			run = 0
		}
		longest = max(longest, run)
	}
	if longest > 2 || count < 15 || count > 25 {
		t.Errorf("after its weight came back the server got %d of 110 turns, %d in a row", count, longest)
	}
}

func TestLookAheadKeepsShares(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(6))
	for _, s := range b.members {
		b.setWeight(s, 1)
	}
	busy := b.members[0]
	busy.inFlight = 3
	for _, id := range pickServers(b, 4) {
		if id == busy.id {
			t.Fatal("a busy server was preferred to idle ones")
		}
	}
	busy.inFlight = 0
	count := 0
	for _, id := range pickServers(b, 20) {
		if id == busy.id {
			count++
		}
	}
	if count < 4 { // its own three or four, and the turn it was passed over for
		t.Errorf("the server that was passed over got %d of 20 turns", count)
	}
}

// Two attempts out at a server that does twice as much are no more of a queue than one elsewhere.
func TestAttemptsOutWeighByWhatAServerCanDo(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(2))
	b.now += 60_000_000
	slow, fast := b.members[0], b.members[1]
	for i, qps := range []float32{10, 40} {
		b.addReport(b.members[i], report(qps, 0.5, 0))
		b.members[i].nonEmptySince = 1
	}
	b.advance(refreshPeriod)
	slow.inFlight, slow.openConns, fast.inFlight, fast.openConns = 2, 9, 3, 9
	if r := (&request{}); b.loadScore(r, fast) >= b.loadScore(r, slow) {
		t.Errorf("load %v with 3 attempts at the fast server, %v with 2 at the slow one", b.loadScore(r, fast), b.loadScore(r, slow))
	}
}

func TestSteadyStateDoesNotAllocate(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(100))
	out := make([]Action, 0, 64)
	id := uint64(1)
	rep := report(10, 0.5, 0)
	round := func() {
		id++
		out = b.Handle(b.now+1000, &Event{Kind: RequestArrived, ID: id, ClientTimeout: 1e6}, out[:0])
		sent := out[0]
		out = b.Handle(b.now+1000, &Event{Kind: AttemptEnded, ID: id, Server: sent.Server, Elapsed: 1000,
			Final: true, Report: rep}, out[:0])
	}
	for range 2000 {
		round()
	}
	if n := testing.AllocsPerRun(2000, round); n > 0.1 {
		t.Errorf("%v allocations a request", n)
	}
}

// Beyond the first turns only a warm server's idle connection is worth a turn out of order: not a server without one, nor a cold one.
func TestFarTurnsAreForIdleConnections(t *testing.T) {
	for name, c := range map[string]struct {
		conns, inflight int
		cold, taken     bool
	}{"idle connection": {1, 0, false, true}, "none": {0, 0, false, false}, "busy": {1, 1, false, false}, "cold": {1, 0, true, false}} {
		b := newBalancer(t, testSettings(), testMembers(100))
		for i, s := range b.members { // due in the order of their listing
			s.Due = float64(i) / 100
			b.schedule.Fix(&s.Turn)
			b.setWeight(s, 1)
		}
		far := b.members[60]
		far.openConns, far.inFlight, far.warmingUp, far.slowStartTokens = c.conns, c.inflight, c.cold, 5
		got := b.pick(&request{class: &b.settings.Classes[0], deadline: b.now + 1e6, maxAttempts: 3, cost: 1})
		if (got == far) != c.taken {
			t.Errorf("%s: server %d of 100 was picked, want the 61st: %v", name, slices.Index(b.members, got), c.taken)
		}
		if b.schedule.Len() != 100 {
			t.Errorf("%s: %d servers are left in the schedule", name, b.schedule.Len())
		}
	}
}

// BenchmarkPick shows what a choice costs where no connection stands idle, which is the dearest: all turns are looked at.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 200, 10_000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			m, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			m.Handle(1, &Event{Kind: MembershipFull, Members: testMembers(n)}, nil)
			r := &request{class: &m.settings.Classes[0], deadline: math.MaxInt64, cost: 1, maxAttempts: 9}
			for range b.N {
				m.pick(r)
			}
		})
	}
}
