package policy

import "testing"

// An attempt that is in flight for longer than a response without a queue takes signals congestion once, at
// that time. An attempt gives no signal if its response streams, if its client still sends the body, or if
// its server is hung, warming up or slow itself.
func TestOverdueAttemptSignalsCongestionOnce(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*Balancer, *request)
		signals bool
	}{
		"queued":               {func(*Balancer, *request) {}, true},
		"response streams":     {func(_ *Balancer, r *request) { r.streaming = true }, false},
		"server warming up":    {func(_ *Balancer, r *request) { r.attempts[0].server.warmingUp = true }, false},
		"server slow":          {func(_ *Balancer, r *request) { r.attempts[0].server.relativeLatency = slowFactor }, false},
		"server stalled":       {func(_ *Balancer, r *request) { r.attempts[0].server.stalled = true }, false},
		"client still sending": {func(_ *Balancer, r *request) { r.attempts[0].bodyPending = true }, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(t, testSettings(), testMembers(1))
			b.concurrencyLimit, b.medianAttemptTime = 100, 1e6
			b.Handle(b.now, &Event{Kind: RequestArrived, ID: 1, ClientTimeout: 60e6}, nil)
			b.Handle(b.now, &Event{Kind: BodySent, ID: 1}, nil)
			r := b.requests[1]
			c.change(b, r)
			sentAt, target := b.now, b.settings.Classes[0].LatencyTarget
			b.now = sentAt + target/2
			if b.detectOverdue(); b.concurrencyLimit != 100 {
				t.Errorf("limit %v within the time of a response without congestion", b.concurrencyLimit)
			}
			b.now = sentAt + target
			b.detectOverdue()
			once := b.concurrencyLimit
			b.now += target
			if b.detectOverdue(); (once < 100) != c.signals || b.concurrencyLimit != once {
				t.Errorf("limit %v after the target, then %v", once, b.concurrencyLimit)
			}
			if !c.signals {
				return
			}
			b.adjustLimit(r, &r.attempts[0], &Event{Outcome: OK, Elapsed: b.now - sentAt})
			if b.concurrencyLimit != once {
				t.Errorf("the response signals congestion again: limit %v", b.concurrencyLimit)
			}
		})
	}
}

// If only a few servers have overdue attempts, these servers hang or are slow; if most servers have them,
// requests queue at all servers, which is congestion.
func TestOverdueAttemptsSignalOnlyIfAtMostServers(t *testing.T) {
	const servers = 5
	for _, c := range []struct {
		name    string
		overdue int // servers with an overdue attempt; the others have an attempt that was just sent
		signals int // attempts that signal congestion
	}{
		{"none", 0, 0},
		{"two of five", 2, 0},
		{"three of five", 3, 3},
		{"all", servers, servers},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBalancer(t, testSettings(), testMembers(servers))
			b.concurrencyLimit, b.medianAttemptTime = 100, 1e6
			target := b.settings.Classes[0].LatencyTarget
			for id := range uint64(servers) { // each server gets one attempt
				if int(id) == c.overdue {
					b.now += target
				}
				b.requests[id] = b.newRequest(&Event{ID: id, ClientTimeout: 60e6})
				b.send(b.requests[id], b.members[id])
				b.Handle(b.now, &Event{Kind: BodySent, ID: id}, nil)
			}
			if c.overdue == servers {
				b.now += target
			}
			for range 2 * servers { // each call counts one attempt
				b.detectOverdue()
			}
			signalled := 0
			for _, r := range b.requests {
				if r.attempts[0].signalledOverdue {
					signalled++
				}
			}
			if signalled != c.signals {
				t.Errorf("%d attempts signal congestion, want %d", signalled, c.signals)
			}
		})
	}
}
