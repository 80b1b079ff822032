package simulation

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// Pause is what one kind of loss costs: how long nothing was acknowledged, over some seeds.
type Pause struct {
	Kind            FaultKind
	Median, Longest time.Duration
	Wait50, Wait99  time.Duration // from an operator's first try to the acknowledgement
}

// Times of a measured run.
const (
	measuredLoss   = 8 * time.Second
	measuredSpan   = 5 * time.Second
	measuredLength = 20 * time.Second
)

// measuredKinds are those that strike one machine.
var measuredKinds = []FaultKind{Kill, PowerLoss, Freeze, DiskStall, Cut, OneWayCut, Wipe, Replacement, PlannedReplacement, Leave}

// MeasurePauses plays each kind of loss alone, on each place in turn, under one change after the other.
func MeasurePauses(members, tolerance int, seeds uint64) []Pause {
	return lo.Map(measuredKinds, func(kind FaultKind, _ int) Pause { return measure(kind, members, tolerance, seeds) })
}

func measure(kind FaultKind, members, tolerance int, seeds uint64) Pause {
	var pauses, waits []time.Duration
	for seed := uint64(1); seed <= seeds; seed++ {
		slot := int(seed) % members
		fault := Fault{At: measuredLoss, Kind: kind, Span: measuredSpan, Slots: []int{slot}, Count: 1, Draw: seed}
		result := Run(Options{
			Seed: seed, Members: members, Tolerance: tolerance, Length: measuredLength, Script: []Fault{fault}, Storm: true,
		})
		pauses = append(pauses, result.Pause)
		waits = append(waits, result.Waits...)
	}
	slices.Sort(pauses)
	slices.Sort(waits)
	return Pause{
		Kind: kind, Median: quantile(pauses, 0.5), Longest: quantile(pauses, 1),
		Wait50: quantile(waits, 0.5), Wait99: quantile(waits, 0.99),
	}
}

// quantile returns the value below which so great a part of sorted spans lies; 0 where there are none.
func quantile(sorted []time.Duration, part float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}
