package engine

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pumiceline/internal/standalone/policy"
)

// scriptedPolicy responds to each event with a test's actions, and records the events and their times.
type scriptedPolicy struct {
	events  []policy.Event
	times   []policy.Time
	respond func(ev *policy.Event) []policy.Action
}

func (s *scriptedPolicy) Handle(now policy.Time, ev *policy.Event, out []policy.Action) []policy.Action {
	s.events, s.times = append(s.events, *ev), append(s.times, now)
	return append(out, s.respond(ev)...)
}

func newTestEngine(s *scriptedPolicy) *Engine {
	return New(s, Hooks{SubscribeDiscovery: func() {}, CloseIdleConns: func(uint32) {}}, slog.New(slog.DiscardHandler))
}

func sendTwice(ev *policy.Event) []policy.Action {
	if ev.Kind == policy.RequestArrived {
		return []policy.Action{
			{Kind: policy.SendAttempt, ID: ev.ID, Server: 7}, {Kind: policy.SendAttempt, ID: ev.ID, Server: 8},
		}
	}
	return nil
}

// The outcome of each attempt reaches the policy once, and only the first OK is the response.
func TestCall_ReportsEachOutcomeOnce(t *testing.T) {
	s := &scriptedPolicy{respond: sendTwice}
	c := newTestEngine(s).Start(Request{Deadline: time.Now().Add(time.Second)})
	if a, b := <-c.Actions(), <-c.Actions(); a.Attempt != 0 || b.Attempt != 1 {
		t.Fatalf("attempts are numbered %d and %d", a.Attempt, b.Attempt)
	}
	var got []bool
	for _, attempt := range []uint8{1, 1, 0, 5} {
		got = append(got, c.Finish(attempt, policy.OK, nil, time.Time{}))
	}
	if want := []bool{true, false, false, false}; !slices.Equal(got, want) {
		t.Errorf("final responses: %v, want %v", got, want)
	}
	c.Abandon()
	if len(s.events) != 3 || !s.events[1].Final || s.events[1].Server != 8 || !s.events[2].Final {
		t.Errorf("the policy handled %+v", s.events)
	}
	if len(c.engine.calls) != 0 {
		t.Error("the call is not removed")
	}
}

// Abandon is reported to the policy, and the resulting cancels are in Actions when it returns.
func TestCall_AbandonDeliversCancels(t *testing.T) {
	s := &scriptedPolicy{respond: func(ev *policy.Event) []policy.Action {
		if ev.Kind == policy.RequestAbandoned {
			return []policy.Action{{Kind: policy.CancelAttempt, ID: ev.ID, Attempt: 1}}
		}
		return sendTwice(ev)
	}}
	c := newTestEngine(s).Start(Request{})
	<-c.Actions()
	<-c.Actions()
	c.Abandon()
	select {
	case a := <-c.Actions():
		if a.Kind != policy.CancelAttempt || a.Attempt != 1 {
			t.Errorf("got %+v", a)
		}
	default:
		t.Error("no cancel in Actions after Abandon")
	}
}

func TestEngine_TimersFireInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedPolicy{respond: func(ev *policy.Event) []policy.Action {
			if ev.Kind != policy.MembershipFull {
				return nil
			}
			return []policy.Action{{Kind: policy.SetTimer, ID: 3, After: 30_000}, {Kind: policy.SetTimer, ID: 1, After: 10_000},
				{Kind: policy.SetTimer, ID: 2, After: 10_000}}
		}}
		e := newTestEngine(s)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go e.Run(ctx)
		synctest.Wait()
		e.UpdateMembers(policy.MembershipFull, nil)
		time.Sleep(time.Second)
		synctest.Wait()
		var ids []uint64
		for _, ev := range s.events[1:] {
			ids = append(ids, ev.ID)
		}
		if !slices.Equal(ids, []uint64{1, 2, 3}) || !slices.IsSorted(s.times) {
			t.Errorf("timers %v at %v", ids, s.times)
		}
		if since := s.times[3] - s.times[0]; since != 30_000 {
			t.Errorf("the last timer fired after %d", since)
		}
	})
}

// A panic in the policy loses one decision only. It must not end the process and with it every request in flight.
func TestEngine_SurvivesPolicyPanic(t *testing.T) {
	s := &scriptedPolicy{respond: func(ev *policy.Event) []policy.Action {
		if ev.Kind == policy.DiscoveryFailed {
			panic("a fault")
		}
		return sendTwice(ev)
	}}
	e := newTestEngine(s)
	e.UpdateMembers(policy.DiscoveryFailed, nil)
	if c := e.Start(Request{}); len(c.actions) != 2 {
		t.Errorf("%d actions after the panic", len(c.actions))
	}
}
