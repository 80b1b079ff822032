package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// pickServers calls pick n times and returns the IDs of the servers.
func pickServers(b *Balancer, n int) (servers []uint32) {
	for range n {
		servers = append(servers, b.pick(unboundedRequest(b)).id)
	}
	return servers
}

// unboundedRequest returns a request that no deadline or number of attempts limits.
func unboundedRequest(b *Balancer) *request {
	return &request{class: &b.settings.Classes[0], deadline: math.MaxInt64, cost: 1, maxAttempts: 9}
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

func TestEqualWeightsAlternate(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(10))
	for _, s := range b.members {
		b.setWeight(s, 3)
	}
	last := map[uint32]int{}
	for i, id := range pickServers(b, 1000) {
		if at, ok := last[id]; ok && i-at != 10 {
			t.Fatalf("server %d got its next turn after %d turns, want 10", id, i-at)
		}
		last[id] = i
	}
}

func TestWeightChangeCausesNoBurst(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(10))
	for _, s := range b.members {
		b.setWeight(s, 1)
	}
	pickServers(b, 95)
	s := b.members[3]
	b.setWeight(s, 1e-3) // falls to almost nothing, then rises to twice that of the others
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
		t.Errorf("after its weight returned the server got %d of 110 turns, %d in a row", count, longest)
	}
}

func TestSkippedServerKeepsItsShare(t *testing.T) {
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
	if count < 4 { // three or four regular turns, and the skipped turn
		t.Errorf("the skipped server got %d of 20 turns", count)
	}
}

// A server with four times the capacity gets a lower load score with 3 attempts in flight than the other
// server with 2.
func TestLoadScoreIsRelativeToCapacity(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(2))
	b.now += 60_000_000
	slow, fast := b.members[0], b.members[1]
	for i, qps := range []float32{10, 40} {
		b.addReport(b.members[i], loadReport(qps, 0.5, 0))
		b.members[i].nonEmptySince = 1
	}
	b.advance(refreshPeriod)
	slow.inFlight, slow.openConns, fast.inFlight, fast.openConns = 2, 9, 3, 9
	r := &request{}
	if fastScore, slowScore := b.loadScore(r, fast), b.loadScore(r, slow); fastScore >= slowScore {
		t.Errorf("score %v with 3 attempts at the fast server, %v with 2 at the slow one", fastScore, slowScore)
	}
}

// After the first turns, only a warm server with an idle connection is picked out of order: not a server
// without an idle connection, nor a server that is warming up.
func TestLaterTurnsAreForIdleConnections(t *testing.T) {
	for name, c := range map[string]struct {
		openConns, inFlight int
		warmingUp, picked   bool
	}{
		"idle connection": {1, 0, false, true},
		"no connection":   {0, 0, false, false},
		"busy connection": {1, 1, false, false},
		"warming up":      {1, 0, true, false},
	} {
		b := newBalancer(t, testSettings(), testMembers(100))
		for i, s := range b.members { // deadlines in the order of listing
			s.Deadline = float64(i) / 100
			b.schedule.Fix(&s.Item)
			b.setWeight(s, 1)
		}
		far := b.members[60]
		far.openConns, far.inFlight, far.warmingUp, far.slowStartTokens = c.openConns, c.inFlight, c.warmingUp, 5
		got := b.pick(&request{class: &b.settings.Classes[0], deadline: b.now + 1e6, maxAttempts: 3, cost: 1})
		if (got == far) != c.picked {
			t.Errorf("%s: server %d of 100 was picked, want the 61st: %v", name, slices.Index(b.members, got), c.picked)
		}
		if b.schedule.Len() != 100 {
			t.Errorf("%s: %d servers are left in the schedule", name, b.schedule.Len())
		}
	}
}

func TestSteadyStateDoesNotAllocate(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(100))
	actions := make([]Action, 0, 64)
	id := uint64(1)
	report := loadReport(10, 0.5, 0)
	serveOne := func() {
		id++
		actions = b.Handle(b.now+1000, &Event{Kind: RequestArrived, ID: id, ClientTimeout: 1e6}, actions[:0])
		sent := actions[0]
		actions = b.Handle(b.now+1000, &Event{Kind: AttemptEnded, ID: id, Server: sent.Server, Elapsed: 1000,
			Final: true, Report: report}, actions[:0])
	}
	for range 2000 {
		serveOne()
	}
	if n := testing.AllocsPerRun(2000, serveOne); n > 0.1 {
		t.Errorf("%v allocations per request", n)
	}
}

// BenchmarkPick measures a pick if no connection is idle, which is the worst case: all candidates are
// examined.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 200, 10_000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			balancer, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			balancer.Handle(1, &Event{Kind: MembershipFull, Members: testMembers(n)}, nil)
			r := unboundedRequest(balancer)
			for range b.N {
				balancer.pick(r)
			}
		})
	}
}
