package policy

import (
	"math"
	"testing"
)

// The initial limits of all balancers of a group together are initialAttemptsPerServer for each server, but
// each balancer has a limit of at least 1.
func TestSetInitialLimit(t *testing.T) {
	for _, c := range []struct {
		servers, group int
		want           float64
	}{{12, 2, 54}, {20, 60, 3}, {70, 375, 1.68}, {4, 300, 1}} {
		settings := testSettings()
		settings.GroupSize = c.group
		b, err := New(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		if !math.IsInf(b.concurrencyLimit, 1) {
			t.Errorf("limit %v before any membership", b.concurrencyLimit)
		}
		b.Handle(1e9, &Event{Kind: MembershipFull, Members: testMembers(c.servers)}, nil)
		if math.Abs(b.concurrencyLimit-c.want) > 1e-9 {
			t.Errorf("%d servers, %d balancers: limit %v, want %v", c.servers, c.group, b.concurrencyLimit, c.want)
		}
		b.concurrencyLimit = 0.5
		b.Handle(1e9+1, &Event{Kind: MembershipFull, Members: testMembers(c.servers)}, nil)
		if b.concurrencyLimit != 0.5 {
			t.Errorf("a later membership sets the limit to %v", b.concurrencyLimit)
		}
	}
}

// Once the unloaded latency is known, the limit grows to the number of requests that arrive during that
// latency, however small the initial limit was. When the latency of another class becomes known, the limit is
// not raised again.
func TestLimitGrowsToArrivalsOnceLatencyIsKnown(t *testing.T) {
	settings := testSettings()
	settings.GroupSize = 100
	b, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	start := Time(1e9)
	b.Handle(start, &Event{Kind: MembershipFull, Members: testMembers(4)}, nil)
	const perSecond, latency = 200, 100_000
	for n := range uint64(perSecond) { // one second
		b.Handle(start+Time(n)*1e6/perSecond, &Event{Kind: RequestArrived, ID: n + 1, ClientTimeout: 60e6}, nil)
	}
	b.now = start + 1e6
	for !knowsLatency(b) {
		b.observeUnloadedLatency(0, latency)
	}
	if want := float64(perSecond) * latency / 1e6; math.Abs(b.concurrencyLimit-want) > want/10 {
		t.Errorf("limit %v, want %v", b.concurrencyLimit, want)
	}
	b.concurrencyLimit = 2
	for range 100 {
		b.observeUnloadedLatency(1%uint8(len(settings.Classes)), latency)
	}
	if b.concurrencyLimit != 2 {
		t.Errorf("limit %v after the start", b.concurrencyLimit)
	}
}

func knowsLatency(b *Balancer) bool {
	_, known := b.unloadedLatency[0].Baseline()
	return known
}
