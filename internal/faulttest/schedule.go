package faulttest

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pumiceline/internal/duration"
)

// randomActions are what random faults are drawn from. Their order is part of what a seed means.
var randomActions = []Action{
	ActionFreeze, ActionKill, ActionCut, ActionCutUpstream, ActionCutDownstream, ActionDelay, ActionReset,
}

// Schedule returns the script's faults and those that are drawn from a seed, in the order of their times. The same seed
// draws the same faults.
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

// randomFault draws a fault that starts after 5 to 70% of the length and lasts 2 to 20% of it. The order of the draws is
// part of what a seed means.
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

// RunSchedule has inject called for each fault at its time, and what inject returns at the fault's end. Faults do not wait
// for one another: of two on one link, the end of either ends both. It returns when all have ended; if cancelled is closed
// first, it ends those that were injected and returns.
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
