package forwarder

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/policy"
)

// fakeBackends are backends for load polls: backend 1 reports its load, and all others hang until the poll times out.
type fakeBackends struct{}

func (fakeBackends) PollLoad(ctx context.Context, id uint32) backend.Result {
	if id == 1 {
		return backend.Result{Outcome: policy.OK, Report: []float32{0.5, 12}}
	}
	<-ctx.Done()
	return backend.Result{Outcome: policy.TimedOut, Err: ctx.Err()}
}

// A load report reaches the policy. A backend that hangs has at most one poll in flight, all backends together at most
// maxPolls, and each poll ends at pollTimeout. No poll is in flight after Close.
func TestLoadPoller_BoundsPollsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events []policy.Event
		log := slog.New(slog.DiscardHandler)
		poller := NewLoadPoller(fakeBackends{}, log)
		poller.SetEngine(engine.New(policyFunc(func(ev *policy.Event) []policy.Action {
			events = append(events, *ev)
			return nil
		}), engine.Hooks{}, log))
		for id := range uint32(80) {
			poller.Poll(100 + id%40)
		}
		synctest.Wait()
		if poller.InFlight() != maxPolls {
			t.Errorf("%d polls are in flight", poller.InFlight())
		}
		time.Sleep(pollTimeout)
		synctest.Wait()
		poller.Poll(1)
		synctest.Wait()
		if last := events[len(events)-1]; len(events) != maxPolls+1 || events[0].Outcome != policy.TimedOut || last.Kind != policy.LoadPolled ||
			last.Server != 1 || last.Outcome != policy.OK || len(last.Report) != 2 || poller.InFlight() != 0 {
			t.Errorf("%d in flight, the policy got %d events, the last %+v", poller.InFlight(), len(events), last)
		}
		poller.Poll(200)
		poller.Close()
		poller.Poll(201)
		if len(events) != maxPolls+2 || poller.InFlight() != 0 {
			t.Errorf("after Close %d polls are in flight, the policy got %d events", poller.InFlight(), len(events))
		}
	})
}
