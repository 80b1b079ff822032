package policy

import "testing"

// One of 400 balancers with 90 servers of a few places each: one attempt out of each balancer would be more than the servers bear
// together. While every answer speaks of a queue it has far less than one out on the mean, and once none does it takes all that comes.
func TestOneOfHundredsHasLessThanOneOut(t *testing.T) {
	set := testSettings()
	set.GroupSize = 400
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	type answer struct {
		at, took Time
		id       uint64

		server uint32
	}
	var out []answer
	var timers []answer
	id, busy, served := uint64(0), 0, 0
	const begin = Time(1_000_000_000)
	now := begin
	give := func(ev Event) {
		for _, a := range b.Handle(now, &ev, nil) {
			switch a.Kind {
			case SendAttempt:
				took := Time(600_000) // the aim is 500,000
				if now-begin >= 40e6 {
					took = 20_000
				}
				out = append(out, answer{now + took, took, a.ID, a.Server})
			case SetTimer:
				timers = append(timers, answer{at: now + a.After, id: a.ID})
			}
		}
	}
	give(Event{Kind: MembershipFull, Members: testMembers(90)})
	for now = begin; now < begin+80e6; now += 5000 {
		for i := 0; i < len(timers); {
			if tm := timers[i]; tm.at <= now {
				timers = append(timers[:i], timers[i+1:]...)
				give(Event{Kind: TimerFired, ID: tm.id})
				continue
			}
			i++
		}
		for i := 0; i < len(out); {
			if o := out[i]; o.at <= now {
				out = append(out[:i], out[i+1:]...)
				if now-begin >= 60e6 {
					served++
				}
				give(Event{Kind: AttemptEnded, ID: o.id, Server: o.server, Outcome: OK, Elapsed: o.took, Final: true})
				continue
			}
			i++
		}
		if now%50_000 == 0 { // 20 a second
			id++
			give(Event{Kind: RequestArrived, ID: id, ClientTimeout: 2_000_000})
		}
		if now-begin >= 20e6 && now-begin < 40e6 {
			busy += len(out)
		}
	}
	if mean := float64(busy) / (20e6 / 5000); mean > 0.5 {
		t.Errorf("%.2f attempts out on the mean while all speak of a queue", mean)
	}
	if served < 300 {
		t.Errorf("%d of 400 served once nothing queues", served)
	}
}
