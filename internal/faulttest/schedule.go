package faulttest

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pumiceline/internal/duration"
)

// randomActions are the actions of random faults. A change of their order changes the faults that a seed draws.
var randomActions = []Action{
	ActionFreeze, ActionKill, ActionCut, ActionCutUpstream, ActionCutDownstream, ActionDelay, ActionReset,
}

// Schedule returns the script's faults and its random faults, drawn from a seed, in the order of their times. The same
// seed draws the same faults.
func (s *Script) Schedule(seed uint64) []ScheduledFault {
	r := rand.New(rand.NewPCG(seed, 1))
	schedule := slices.Clone(s.Faults)
	for range s.RandomFaults {
		schedule = append(schedule, s.randomFault(r))
	}
	slices.SortStableFunc(schedule, func(a, b ScheduledFault) int { return cmp.Compare(a.At, b.At) })
	return schedule
}

// Times of a random fault.
const (
	minRandomDelayMicros = 20_000 // of ActionDelay
	maxRandomDelayMicros = 300_000
)

// randomFault draws a fault that starts after 5 to 70% of the length and lasts 2 to 20% of it. A change of the order of
// the draws changes the faults that a seed draws.
func (s *Script) randomFault(r *rand.Rand) (f ScheduledFault) {
	shareOfLength := func(from, to float64) duration.Span {
		return duration.Span(float64(s.Length) * (from + (to-from)*r.Float64()))
	}
	f.Action = randomActions[r.IntN(len(randomActions))]
	targets := Targets()[f.Action]
	f.Target = targets[r.IntN(len(targets))]
	f.At = shareOfLength(0.05, 0.7)
	f.For = shareOfLength(0.02, 0.2)
	f.Index = r.IntN(s.targetCount(f.Target))
	f.Delay = duration.Span(minRandomDelayMicros + r.IntN(maxRandomDelayMicros-minRandomDelayMicros))
	return f
}

// RunSchedule calls inject for each fault at its time, and the returned end function at the fault's end. Faults run
// independently: if two faults overlap on one link, the first end ends both. RunSchedule returns when all faults have
// ended. If cancelled is closed first, it ends the injected faults and returns.
func RunSchedule(schedule []ScheduledFault, startedAt time.Time, cancelled <-chan struct{},
	inject func(ScheduledFault) (end func())) {
	waitUntil := func(at duration.Span) bool {
		timer := time.NewTimer(time.Until(startedAt.Add(time.Duration(at) * time.Microsecond)))
		defer timer.Stop()
		select {
		case <-timer.C:
			return true
		case <-cancelled:
			return false
		}
	}
	var running sync.WaitGroup
	for _, f := range schedule {
		running.Go(func() {
			if waitUntil(f.At) {
				end := inject(f)
				waitUntil(f.At + f.For)
				end()
			}
		})
	}
	running.Wait()
}
