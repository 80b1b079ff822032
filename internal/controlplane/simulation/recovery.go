package simulation

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// RecoveryTime is how long acknowledgements stop after one kind of fault under continuous writes.
type RecoveryTime struct {
	Kind FaultKind
	// Median and Longest are statistics over the runs of the longest gap between two acknowledgements.
	Median, Longest time.Duration
	// AckP50 and AckP99 are percentiles, over all runs, of the time from a change's first attempt to its
	// acknowledgement.
	AckP50, AckP99 time.Duration
}

// A measured run has one fault.
const (
	measuredFaultAt    = 8 * time.Second
	measuredFaultTime  = 5 * time.Second
	measuredFaultPhase = 20 * time.Second
)

// measuredKinds are the faults of one machine.
var measuredKinds = []FaultKind{
	Kill, PowerLoss, Freeze, DiskStall, Partition, OneWayPartition, DiskLoss,
	Replacement, PlannedReplacement, GracefulRestart,
}

// MeasureRecovery measures each kind of fault alone, in one run per seed. The seeds hit the slots in turn.
func MeasureRecovery(members, tolerance int, seeds uint64) []RecoveryTime {
	return lo.Map(measuredKinds, func(kind FaultKind, _ int) RecoveryTime {
		return measureRecovery(kind, members, tolerance, seeds)
	})
}

func measureRecovery(kind FaultKind, members, tolerance int, seeds uint64) RecoveryTime {
	var gaps, latencies []time.Duration
	for seed := uint64(1); seed <= seeds; seed++ {
		slot := int(seed) % members
		fault := Fault{
			At: measuredFaultAt, Kind: kind, Duration: measuredFaultTime, Slots: []int{slot}, Count: 1, Draw: seed,
		}
		result := Run(Options{
			Seed: seed, Members: members, Tolerance: tolerance, FaultPhase: measuredFaultPhase,
			ScriptedFaults: []Fault{fault}, ContinuousWrites: true,
		})
		gaps = append(gaps, result.LongestAckGap)
		latencies = append(latencies, result.AckLatencies...)
	}
	slices.Sort(gaps)
	slices.Sort(latencies)
	return RecoveryTime{
		Kind: kind, Median: quantile(gaps, 0.5), Longest: quantile(gaps, 1),
		AckP50: quantile(latencies, 0.5), AckP99: quantile(latencies, 0.99),
	}
}

// quantile returns the value below which the given share of the sorted durations lies, 0 where there are none.
func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
