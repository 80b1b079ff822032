package forwarder

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/policy"
)

// prober has destination 1 tell its load; the others hang.
type prober struct{}

func (prober) Probe(ctx context.Context, id uint32) (policy.Outcome, []float32, error) {
	if id == 1 {
		return policy.OK, []float32{0.5, 12}, nil
	}
	<-ctx.Done()
	return policy.TimedOut, nil, ctx.Err()
}

// What a probe brings reaches the module. Destinations that hang hold one probe each, a bounded number in all, for half a second; and
// none outlives the proxy.
func TestProbesAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told []policy.Event
		log := slog.New(slog.DiscardHandler)
		probes := NewProbes(prober{}, log)
		probes.SetEngine(engine.New(script(func(ev *policy.Event) []policy.Action {
			told = append(told, *ev)
			return nil
		}), engine.Hooks{}, log))
		for id := range uint32(80) {
			probes.Start(100 + id%40)
		}
		synctest.Wait()
		if probes.InFlight() != maxProbes {
			t.Errorf("%d probes are out", probes.InFlight())
		}
		time.Sleep(probeTimeout)
		synctest.Wait()
		probes.Start(1)
		synctest.Wait()
		if last := told[len(told)-1]; len(told) != maxProbes+1 || told[0].Outcome != policy.TimedOut || last.Kind != policy.LoadPolled ||
			last.Server != 1 || last.Outcome != policy.OK || len(last.Report) != 2 || probes.InFlight() != 0 {
			t.Errorf("%d out, the module was told of %d and last %+v", probes.InFlight(), len(told), last)
		}
		probes.Start(200)
		probes.Close()
		probes.Start(201)
		if len(told) != maxProbes+2 || probes.InFlight() != 0 {
			t.Errorf("after the end %d are out, %d were told", probes.InFlight(), len(told))
		}
	})
}
