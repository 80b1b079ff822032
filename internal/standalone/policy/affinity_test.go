package policy

import "testing"

// affinityFixture is a balancer without an effective concurrency limit. All its servers have open
// connections, so that none is preferred for its connections.
type affinityFixture struct {
	*Balancer
	t      *testing.T
	lastID uint64
}

func newAffinityFixture(t *testing.T, settings Settings, members []Member) *affinityFixture {
	t.Helper()
	b := newBalancer(t, settings, members)
	b.advance(refreshPeriod)
	b.concurrencyLimit = 1e6
	for _, s := range b.members {
		s.openConns, s.lastSentAt = 1000, b.now
	}
	return &affinityFixture{Balancer: b, t: t}
}

// send sends a request with an affinity key, which stays in flight, and returns the server that it went to.
func (f *affinityFixture) send(key uint64) uint32 {
	f.t.Helper()
	f.lastID++
	arrived := Event{Kind: RequestArrived, ID: f.lastID, AffinityKey: key, ClientTimeout: 1e9}
	for _, a := range f.Handle(f.now, &arrived, nil) {
		if a.Kind == SendAttempt {
			return a.Server
		}
	}
	f.t.Fatalf("request %d was not sent", f.lastID)
	return 0
}

const affinityKeys = 299

// serveKeys sends one request of each key, answers it at once, and returns the server of each key.
func (f *affinityFixture) serveKeys() (servers [affinityKeys]uint32) {
	f.t.Helper()
	for k := range servers {
		servers[k] = f.send(uint64(k + 1))
		served := Event{Kind: AttemptEnded, ID: f.lastID, Server: servers[k], Outcome: OK, Elapsed: 1000, Final: true}
		f.Handle(f.now, &served, nil)
	}
	return servers
}

// Requests with the same key go to one server, the same at every balancer. While a server is draining,
// stalled or ejected, each of its keys is served at its second home; afterwards the keys return to it. No
// other key moves.
func TestRequestsOfOneKeyGoToOneServer(t *testing.T) {
	settings := testSettings()
	settings.KeyAffinity = true
	f := newAffinityFixture(t, settings, testMembers(12))
	before := f.serveKeys()
	if newAffinityFixture(t, settings, testMembers(12)).serveKeys() != before {
		t.Error("two balancers send keys to different servers")
	}
	s := f.servers[before[0]]
	setMode := func(m Mode) {
		changed := []Member{{Server: s.id, Size: s.size, Mode: m}}
		f.Handle(f.now, &Event{Kind: MembershipDelta, Members: changed}, nil)
	}
	for name, c := range map[string]struct{ remove, restore func() }{
		"draining": {func() { setMode(ModeDraining) }, func() { setMode(ModeReady) }},
		"stalled": {func() { s.stalled = true; f.updateSchedule(s) },
			func() { s.stalled = false; f.updateSchedule(s) }},
		"ejected": {func() { s.ejected = true; f.updateSchedule(s) },
			func() { s.ejected = false; f.updateSchedule(s) }},
	} {
		t.Run(name, func(t *testing.T) {
			c.remove()
			first, second := f.serveKeys(), f.serveKeys()
			for k := range before {
				if before[k] != s.id && first[k] != before[k] || first[k] == s.id || first[k] != second[k] {
					t.Errorf("key %d moved from %d to %d, then %d; the removed server is %d", k, before[k], first[k], second[k], s.id)
				}
			}
			if c.restore(); f.serveKeys() != before {
				t.Error("keys did not return to their home")
			}
		})
	}
}

// Without KeyAffinity keys have no home: in two rounds over all keys, no more keys than by chance go to the
// same server twice.
func TestKeysHaveNoHomeWithoutKeyAffinity(t *testing.T) {
	const servers = 12
	f := newAffinityFixture(t, testSettings(), testMembers(servers))
	first, second := f.serveKeys(), f.serveKeys()
	same := 0
	for k := range first {
		if first[k] == second[k] {
			same++
		}
	}
	if same > affinityKeys/servers {
		t.Errorf("%d of %d keys went to the same server twice", same, affinityKeys)
	}
}

// Attempts in flight are spread by listed size, also without load reports. A key with by far the most
// requests must not overload a server: requests that its first home cannot take go to its second home and
// then to all servers.
func TestHotKeyOverloadsNoServer(t *testing.T) {
	settings := testSettings()
	settings.ReportDelivery, settings.SizesKnown, settings.ReportColumns = ReportsNone, true, nil
	settings.KeyAffinity = true
	members := testMembers(12)
	for i := range members {
		members[i].Size = float64(1 + 2*(i%2))
	}
	for name, hot := range map[string]uint64{"a hot key": 7, "no keys": 0} {
		f := newAffinityFixture(t, settings, members)
		inFlight := map[uint32]int{}
		for id := range uint64(240) {
			key := hot
			if hot > 0 && id%3 == 0 {
				key = 1000 + id
			}
			inFlight[f.send(key)]++
		}
		for i, m := range members {
			n, share := inFlight[m.Server], 10+20*(i%2)
			if n > share+20 || hot == 0 && (n < share-3 || n > share+3) {
				t.Errorf("%s: %d of 240 are in flight at a server of size %v", name, n, m.Size)
			}
		}
	}
}
