package policy

import (
	"slices"
	"testing"
)

// A herd that starts together: 210 of a group of 300, and discovery answers 60 calls a second in turn and fails those that would wait
// for over a second. The herd alone must not bring it down, and every call comes as soon as the rule asks.
func TestAHerdSpreadsItsCalls(t *testing.T) {
	for _, c := range []struct {
		group, herd  int
		perS         Time
		peak, failed int
		listed       Time // all of them by then
	}{{300, 210, 60, 70, 0, 6e6}, {300, 210, 30, 70, 150, 30e6}, {4, 4, 60, 4, 0, 3_600_000}} {
		type due struct {
			at Time
			n  int
			ev Event
		}
		var queue []due
		herd := make([]*Balancer, c.herd)
		perSecond, failed, listed, last := map[Time]int{}, 0, 0, Time(0)
		busy := Time(0)
		give := func(n int, now Time, ev Event) {
			for _, a := range herd[n].Handle(now, &ev, nil) {
				switch {
				case a.Kind == SetTimer && a.ID == timerSubscribe:
					queue = append(queue, due{now + a.After, n, Event{Kind: TimerFired, ID: a.ID}})
				case a.Kind == SubscribeDiscovery:
					perSecond[now/1e6]++
					if busy = max(busy, now); busy-now > 1e6 {
						queue = append(queue, due{now + 1e6, n, Event{Kind: DiscoveryFailed}})
						continue
					}
					busy += 1e6 / c.perS
					queue = append(queue, due{busy, n, Event{Kind: MembershipFull}})
				}
			}
		}
		set := testSettings()
		set.SubscribeDiscovery, set.GroupSize, set.Rules.SubscribeWithin = true, c.group, 10e6
		for n := range herd {
			var err error
			if herd[n], err = New(set, uint64(n+1)); err != nil {
				t.Fatal(err)
			}
			give(n, 1, Event{Kind: MembershipCached})
		}
		for len(queue) > 0 && listed < c.herd {
			slices.SortFunc(queue, func(a, b due) int { return int(a.at - b.at) })
			d := queue[0]
			queue = queue[1:]
			switch d.ev.Kind {
			case DiscoveryFailed:
				failed++
			case MembershipFull:
				listed++
				last = d.at
			}
			give(d.n, d.at, d.ev)
		}
		peak := 0
		for _, k := range perSecond {
			peak = max(peak, k)
		}
		if peak > c.peak || failed > c.failed || listed < c.herd || last > c.listed {
			t.Errorf("%d of a group of %d, %d calls a second: at most %d a second, %d failed, %d listed after %d us", c.herd, c.group, c.perS,
				peak, failed, listed, last)
		}
	}
}
