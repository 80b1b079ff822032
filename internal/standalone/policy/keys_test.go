package policy

import "testing"

// newAffinityBalancer returns a balancer with room for all, whose servers' connections are there, so that none is spared, and what sends it a
// request, which stays out unless back, and tells where it went.
func newAffinityBalancer(t *testing.T, set Settings, members []Member) (b *Balancer, to func(key uint64, back bool) uint32) {
	b = newBalancer(t, set, members)
	b.advance(refreshPeriod)
	b.concurrencyLimit = 1e6
	for _, s := range b.members {
		s.openConns, s.lastSentAt = 1000, b.now
	}
	id := uint64(0)
	return b, func(key uint64, back bool) uint32 {
		id++
		for _, a := range b.Handle(b.now, &Event{Kind: RequestArrived, ID: id, AffinityKey: key, ClientTimeout: 1e9}, nil) {
			if a.Kind == SendAttempt {
				if back {
					b.Handle(b.now, &Event{Kind: AttemptEnded, ID: id, Server: a.Server, Outcome: OK, Elapsed: 1000, Final: true}, nil)
				}
				return a.Server
			}
		}
		t.Fatalf("request %d was not sent", id)
		return 0
	}
}

// Requests with one key go to one server, at every balancer, where servers are warm for keys, and take turns elsewhere: each of 12
// servers met all of 300 keys there, and 60% to 70% of the work was done again. A server that drains, hangs or is left out has its keys
// served at their second homes, all of a key at one, and has them back; no other key moves.
func TestOneKeyGoesToOneServer(t *testing.T) {
	set := testSettings()
	set.KeyAffinity = true
	b, to := newAffinityBalancer(t, set, testMembers(12))
	_, other := newAffinityBalancer(t, set, testMembers(12))
	_, cold := newAffinityBalancer(t, testSettings(), testMembers(12))
	round := func(to func(uint64, bool) uint32) (homes [299]uint32) {
		for k := range homes {
			homes[k] = to(uint64(k+1), true)
		}
		return homes
	}
	before := round(to)
	if round(other) != before || round(cold) == round(cold) {
		t.Error("two balancers differ, or one that is not told of warm keys goes by them")
	}
	s := b.servers[before[0]]
	mode := func(m Mode) {
		b.Handle(b.now, &Event{Kind: MembershipDelta, Members: []Member{{Server: s.id, Size: s.size, Mode: m}}}, nil)
	}
	for name, away := range map[string]func(is bool){
		"draining": func(is bool) { mode(map[bool]Mode{true: ModeDraining, false: ModeReady}[is]) },
		"hanging":  func(is bool) { s.stalled = is; b.updateSchedule(s) },
		"left out": func(is bool) { s.ejected = is; b.updateSchedule(s) },
	} {
		away(true)
		first, second := round(to), round(to)
		for k := range before {
			if before[k] != s.id && first[k] != before[k] || first[k] == s.id || first[k] != second[k] {
				t.Errorf("%s: key %d went from %d to %d and %d, away is %d", name, k, before[k], first[k], second[k], s.id)
			}
		}
		if away(false); round(to) != before {
			t.Errorf("%s: keys did not come back", name)
		}
	}
}

// What is out spreads by listed size, also where nothing is reported; a key that is asked for by far the most makes no server hot,
// as what its home can't take goes to its second home and then to all.
func TestNoServerIsHot(t *testing.T) {
	set := testSettings()
	set.ReportDelivery, set.SizesKnown, set.ReportColumns, set.KeyAffinity = ReportsNone, true, nil, true
	members := testMembers(12)
	for i := range members {
		members[i].Size = float64(1 + 2*(i%2))
	}
	for name, hot := range map[string]uint64{"a hot key": 7, "no keys": 0} {
		_, to := newAffinityBalancer(t, set, members)
		out := map[uint32]int{}
		for id := range uint64(240) {
			key := hot
			if hot > 0 && id%3 == 0 {
				key = 1000 + id
			}
			out[to(key, false)]++
		}
		for i, m := range members {
			if n, part := out[m.Server], 10+20*(i%2); n > part+20 || hot == 0 && (n < part-3 || n > part+3) {
				t.Errorf("%s: %d of 240 are out at a server of size %v", name, n, m.Size)
			}
		}
	}
}
