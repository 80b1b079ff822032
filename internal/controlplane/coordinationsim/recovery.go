package coordinationsim

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// RecoveryTime is what one kind of fault at the issuer costs.
type RecoveryTime struct {
	Kind FaultKind
	// Median, P99 and Longest are those of the longest time without an answered call in each run.
	Median, P99, Longest time.Duration
	// CallP50 and CallP99 are percentiles of the time of an answered call, over all runs.
	CallP50, CallP99 time.Duration
}

// A measured run has one fault, at the issuer.
const (
	measuredFaultAt    = 8 * time.Second
	measuredFaultTime  = 5 * time.Second
	measuredFaultPhase = 16 * time.Second
)

// measuredKinds are the losses of an issuer.
var measuredKinds = []FaultKind{Kill, PowerLoss, Freeze, Partition, OneWayPartition, DiskStall, DiskLoss, GracefulRestart}

// MeasureRecovery measures each kind of fault alone, in a run a seed.
func MeasureRecovery(members, tolerance int, seeds uint64) []RecoveryTime {
	return lo.Map(measuredKinds, func(kind FaultKind, _ int) RecoveryTime {
		return measure(kind, members, tolerance, seeds, func(seed uint64) []Fault {
			return []Fault{{
				At: measuredFaultAt, Kind: kind, Duration: measuredFaultTime, Slots: lo.Range(members), Count: 1,
				AtIssuer: true, Draw: seed,
			}}
		})
	})
}

// MeasureCalm measures calls in runs without faults. Its gap counts for nothing.
func MeasureCalm(members, tolerance int, seeds uint64) RecoveryTime {
	return measure(0, members, tolerance, seeds, func(uint64) []Fault { return []Fault{} })
}

func measure(kind FaultKind, members, tolerance int, seeds uint64, faults func(seed uint64) []Fault) RecoveryTime {
	var gaps, latencies []time.Duration
	for seed := uint64(1); seed <= seeds; seed++ {
		result := Run(Options{
			Seed: seed, Members: members, Tolerance: tolerance, FaultPhase: measuredFaultPhase, History: longHistory,
			ScriptedFaults: faults(seed), WithoutFinalFault: true,
		})
		gaps = append(gaps, result.LongestGap)
		latencies = append(latencies, result.Latencies...)
	}
	slices.Sort(gaps)
	slices.Sort(latencies)
	return RecoveryTime{
		Kind: kind, Median: quantile(gaps, 0.5), P99: quantile(gaps, 0.99), Longest: quantile(gaps, 1),
		CallP50: quantile(latencies, 0.5), CallP99: quantile(latencies, 0.99),
	}
}

// quantile returns the value below which that share of the sorted durations lies; 0 where there are none.
func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
