package policy

import (
	"slices"
	"testing"
)

// discoveryRun is a group of balancers with a discovery service that answers calls one after the other,
// callsPerS per second, and fails calls that would wait for over a second.
type discoveryRun struct {
	balancers []*Balancer
	callsPerS Time
	busyUntil Time // discovery answers earlier calls until then
	pending   []dueEvent

	callsBySecond      map[Time]int
	failed, subscribed int  // number of failed calls and of subscribed balancers
	lastSubscribedAt   Time // when the last balancer was subscribed
}

// dueEvent is an event that will be delivered to a balancer at a time.
type dueEvent struct {
	at       Time
	balancer int
	event    Event
}

// newDiscoveryRun starts some of the balancers of a group at the same time.
func newDiscoveryRun(t *testing.T, group, starting int, callsPerS Time) *discoveryRun {
	t.Helper()
	settings := testSettings()
	settings.SubscribeDiscovery, settings.GroupSize, settings.Rules.SubscribeWithin = true, group, 10e6
	run := &discoveryRun{callsPerS: callsPerS, callsBySecond: map[Time]int{}}
	for n := range starting {
		b, err := New(settings, uint64(n+1))
		if err != nil {
			t.Fatal(err)
		}
		run.balancers = append(run.balancers, b)
		run.handle(n, 1, Event{Kind: MembershipCached})
	}
	return run
}

// handle passes an event to a balancer and executes the actions that concern discovery.
func (r *discoveryRun) handle(balancer int, now Time, event Event) {
	for _, a := range r.balancers[balancer].Handle(now, &event, nil) {
		switch {
		case a.Kind == SetTimer && a.ID == timerSubscribe:
			r.pending = append(r.pending, dueEvent{now + a.After, balancer, Event{Kind: TimerFired, ID: a.ID}})
		case a.Kind == SubscribeDiscovery:
			r.call(balancer, now)
		}
	}
}

func (r *discoveryRun) call(balancer int, now Time) {
	r.callsBySecond[now/1e6]++
	r.busyUntil = max(r.busyUntil, now)
	if r.busyUntil-now > 1e6 {
		r.pending = append(r.pending, dueEvent{now + 1e6, balancer, Event{Kind: DiscoveryFailed}})
		return
	}
	r.busyUntil += 1e6 / r.callsPerS
	r.pending = append(r.pending, dueEvent{r.busyUntil, balancer, Event{Kind: MembershipFull}})
}

// runUntilSubscribed delivers the pending events until all balancers are subscribed or no event is pending.
func (r *discoveryRun) runUntilSubscribed() {
	for len(r.pending) > 0 && r.subscribed < len(r.balancers) {
		slices.SortFunc(r.pending, func(a, b dueEvent) int { return int(a.at - b.at) })
		due := r.pending[0]
		r.pending = r.pending[1:]
		switch due.event.Kind {
		case DiscoveryFailed:
			r.failed++
		case MembershipFull:
			r.subscribed++
			r.lastSubscribedAt = due.at
		}
		r.handle(due.balancer, due.at, due.event)
	}
}

// peak returns the maximum number of calls in one second.
func (r *discoveryRun) peak() (peak int) {
	for _, n := range r.callsBySecond {
		peak = max(peak, n)
	}
	return peak
}

// Most balancers of a group start at the same time. Their calls alone must not overload discovery, and every
// balancer must be subscribed within the time that the rule demands.
func TestSimultaneousStartsSpreadDiscoveryCalls(t *testing.T) {
	for name, c := range map[string]struct {
		group, starting    int // balancers
		callsPerS          Time
		maxPeak, maxFailed int
		allSubscribedAt    Time // at the latest
	}{
		"large group":                 {300, 210, 60, 70, 0, 6e6},
		"large group, slow discovery": {300, 210, 30, 70, 150, 30e6},
		"small group":                 {4, 4, 60, 4, 0, 3_600_000},
	} {
		run := newDiscoveryRun(t, c.group, c.starting, c.callsPerS)
		run.runUntilSubscribed()
		if run.peak() > c.maxPeak || run.failed > c.maxFailed || run.subscribed < c.starting ||
			run.lastSubscribedAt > c.allSubscribedAt {
			t.Errorf("%s: at most %d calls a second, %d failed, %d subscribed after %d us", name, run.peak(), run.failed,
				run.subscribed, run.lastSubscribedAt)
		}
	}
}

// The first calls of balancers that start at the same time are spread, and no call comes too late.
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

// While discovery is down, each balancer calls it less and less often. If a failed call left two plans for
// the next call, the calls would double each time.
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

// A subscription may break when a change was to be sent, so the next call must not wait as long as after a
// failed call.
func TestBrokenSubscriptionIsRenewedSoon(t *testing.T) {
	for _, c := range []struct {
		group  int
		within Time // the latest next call
	}{{group: 6, within: 1_250_000}, {group: 300, within: 2_500_000}} {
		settings := testSettings()
		settings.SubscribeDiscovery, settings.GroupSize, settings.Rules.SubscribeWithin = true, c.group, 10e6
		latest := Time(0)
		for seed := range uint64(200) {
			b, err := New(settings, seed)
			if err != nil {
				t.Fatal(err)
			}
			now := Time(1e9)
			b.Handle(now, &Event{Kind: MembershipCached, Members: testMembers(2)}, nil)
			now += 30e6
			b.Handle(now, &Event{Kind: TimerFired, ID: timerSubscribe}, nil)
			b.Handle(now, &Event{Kind: MembershipFull, Members: testMembers(2)}, nil)
			for _, a := range b.Handle(now+1e6, &Event{Kind: DiscoveryFailed}, nil) {
				if a.Kind == SetTimer && a.ID == timerSubscribe {
					latest = max(latest, a.After)
				}
			}
		}
		if latest > c.within || latest < c.within*9/10 {
			t.Errorf("group of %d: the latest of 200 calls comes after %d us, the spread is %d", c.group, latest, c.within)
		}
	}
}
