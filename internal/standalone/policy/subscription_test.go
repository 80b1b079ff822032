package policy

import (
	"slices"
	"testing"
)

// 210 balancers of a group of 300 start together, and discovery answers 60 calls a second in turn and fails those that
// would wait for over a second. They alone must not overload it, and every one is subscribed as soon as the rule
// demands.
func TestSimultaneousStartsSpreadDiscoveryCalls(t *testing.T) {
	for _, c := range []struct {
		group, starting    int // balancers
		perS               Time
		maxPeak, maxFailed int
		allSubscribed      Time // at the latest
	}{{300, 210, 60, 70, 0, 6e6}, {300, 210, 30, 70, 150, 30e6}, {4, 4, 60, 4, 0, 3_600_000}} {
		type dueEvent struct {
			at       Time
			balancer int
			ev       Event
		}
		var queue []dueEvent
		balancers := make([]*Balancer, c.starting)
		calls, failed, subscribed, last := map[Time]int{}, 0, 0, Time(0) // calls by second
		busyUntil := Time(0)
		handle := func(n int, now Time, ev Event) {
			for _, a := range balancers[n].Handle(now, &ev, nil) {
				switch {
				case a.Kind == SetTimer && a.ID == timerSubscribe:
					queue = append(queue, dueEvent{now + a.After, n, Event{Kind: TimerFired, ID: a.ID}})
				case a.Kind == SubscribeDiscovery:
					calls[now/1e6]++
					if busyUntil = max(busyUntil, now); busyUntil-now > 1e6 {
						queue = append(queue, dueEvent{now + 1e6, n, Event{Kind: DiscoveryFailed}})
						continue
					}
					busyUntil += 1e6 / c.perS
					queue = append(queue, dueEvent{busyUntil, n, Event{Kind: MembershipFull}})
				}
			}
		}
		settings := testSettings()
		settings.SubscribeDiscovery, settings.GroupSize, settings.Rules.SubscribeWithin = true, c.group, 10e6
		for n := range balancers {
			var err error
			if balancers[n], err = New(settings, uint64(n+1)); err != nil {
				t.Fatal(err)
			}
			handle(n, 1, Event{Kind: MembershipCached})
		}
		for len(queue) > 0 && subscribed < c.starting {
			slices.SortFunc(queue, func(a, b dueEvent) int { return int(a.at - b.at) })
			due := queue[0]
			queue = queue[1:]
			switch due.ev.Kind {
			case DiscoveryFailed:
				failed++
			case MembershipFull:
				subscribed++
				last = due.at
			}
			handle(due.balancer, due.at, due.ev)
		}
		peak := 0
		for _, n := range calls {
			peak = max(peak, n)
		}
		if peak > c.maxPeak || failed > c.maxFailed || subscribed < c.starting || last > c.allSubscribed {
			t.Errorf("%d of a group of %d, %d calls a second: at most %d a second, %d failed, %d subscribed after %d us",
				c.starting, c.group, c.perS, peak, failed, subscribed, last)
		}
	}
}

// The first calls of balancers that start together are spread over time, and none comes too late.
func TestFirstDiscoveryCallsAreSpread(t *testing.T) {
	settings := testSettings()
	settings.SubscribeDiscovery = true
	first := map[Time]int{}
	for seed := range uint64(200) {
		b, _ := New(settings, seed)
		for _, a := range b.Handle(1e9, &Event{Kind: MembershipCached, Members: testMembers(2)}, nil) {
			if a.Kind == SetTimer && a.ID == timerSubscribe {
				if a.After > settings.Rules.SubscribeWithin/2 {
					t.Fatalf("first call only after %d", a.After)
				}
				first[a.After/(settings.Rules.SubscribeWithin/40)]++
			}
		}
	}
	for slot, n := range first {
		if n > 50 {
			t.Errorf("%d of 200 balancers call in slot %d", n, slot)
		}
	}
	if len(first) < 5 {
		t.Errorf("all calls fall into %d slots", len(first))
	}
}

// While discovery is down each balancer's calls become rarer. A failed call that left two plans behind would double
// them.
func TestDiscoveryCallsBackOffOnFailure(t *testing.T) {
	for _, within := range []Time{8_000_000, 0} {
		settings := testSettings()
		settings.SubscribeDiscovery, settings.Rules.SubscribeWithin = true, within
		b, err := New(settings, 5)
		if err != nil {
			t.Fatal(err)
		}
		start := Time(1e9)
		var timers []Time
		calls := map[Time]int{}
		noteTimers := func(actions []Action) {
			for _, a := range actions {
				if a.Kind == SetTimer && a.ID == timerSubscribe {
					timers = append(timers, b.now+a.After)
				}
			}
		}
		noteTimers(b.Handle(start, &Event{Kind: MembershipCached, Members: testMembers(2)}, nil))
		for now := start; now < start+120_000_000; now += 10_000 {
			for i := 0; i < len(timers); i++ {
				if timers[i] > now {
					continue
				}
				timers = append(timers[:i], timers[i+1:]...)
				i--
				actions := b.Handle(now, &Event{Kind: TimerFired, ID: timerSubscribe}, nil)
				noteTimers(actions)
				for _, a := range actions {
					if a.Kind == SubscribeDiscovery {
						calls[(now-start)/60_000_000]++
						noteTimers(b.Handle(now, &Event{Kind: DiscoveryFailed}, nil))
					}
				}
			}
		}
		if calls[0] == 0 || calls[1] == 0 || calls[0] > 25 || calls[1] > 15 {
			t.Errorf("subscribe within %d: calls by minute are %v", within, calls)
		}
	}
}
