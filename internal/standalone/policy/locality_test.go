package policy

import (
	"math"
	"testing"
)

func TestRemoteZonesAreUsedOnlyWithoutHeadroom(t *testing.T) {
	members := testMembers(4)
	members[2].Zone, members[3].Zone = 1, 1
	b := newBalancer(t, testSettings(), members)
	shareAt := func(home, remote float64) float64 { // utilization
		for i, s := range b.members {
			s.utilizationSum, s.qpsSum, s.reportWeight = home, 10, 1
			if i >= 2 {
				s.utilizationSum = remote
			}
		}
		for range 200 {
			b.updateRemoteZoneShare(0.1)
		}
		return b.remoteZoneShare
	}
	assertNear(t, "remote share with headroom at home", shareAt(0.3, 0.1), 0, 1e-3)
	assertNear(t, "remote share when home is full", shareAt(0.95, 0.4), 1, 1e-3)
	assertNear(t, "remote share when all are full", shareAt(0.95, 0.95), 0, 1e-3)
}

// An unreachable zone first shows as failures to connect: the balancer must not have to find its servers
// unreachable one by one.
func TestUnreachableZoneLosesWeight(t *testing.T) {
	members := testMembers(20)
	for i := range members {
		members[i].Zone = uint8(i % 2)
	}
	b := newBalancer(t, testSettings(), members)
	wasted := 0
	for id := range uint64(40) {
		actions := b.Handle(b.now+20_000, &Event{Kind: RequestArrived, ID: id, ClientTimeout: 1e6}, nil)
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			if a.Kind != SendAttempt {
				continue
			}
			ev := Event{Kind: AttemptEnded, ID: id, Server: a.Server, Elapsed: 1000, Final: true}
			ev.Attempt = uint8(len(b.requests[id].attempts) - 1)
			if a.Server%2 == 0 { // the home zone is unreachable
				wasted++
				ev.Outcome, ev.Final = ConnectFailed, false
			}
			actions = append(actions, b.Handle(b.now, &ev, nil)...)
		}
		b.advance(30_000)
	}
	if wasted > 9 {
		t.Errorf("%d attempts were spent on an unreachable zone of 10 servers", wasted)
	}
}

// The expired reports of a scheduled server must not count in the load of its zone: their sums are 0, and 0/0
// would make the remote zone share and the weights NaN.
func TestExpiredReportsDoNotMakeZoneShareNaN(t *testing.T) {
	b := newBalancer(t, testSettings(), testMembers(2))
	for _, s := range b.members {
		b.addReport(s, loadReport(50, 0.5, 0))
		b.Handle(b.now+blackoutPeriod+1, &Event{Kind: MembershipDelta}, nil)
		b.addReport(s, loadReport(50, 0.5, 0))
	}
	b.advance(weightExpiration + 1)
	if math.IsNaN(b.remoteZoneShare) {
		t.Error("the share of other zones is not a number")
	}
	for _, s := range b.members {
		if math.IsNaN(s.weight) || s.reportWeight != 0 {
			t.Errorf("weight %v, sum of report weights %v", s.weight, s.reportWeight)
		}
	}
}
