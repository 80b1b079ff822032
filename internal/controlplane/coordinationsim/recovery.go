package coordinationsim

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// RecoveryTime is how long calls go unanswered when one kind of fault hits the issuer.
type RecoveryTime struct {
	Kind FaultKind
	// Median, P99 and Longest are statistics over the runs of the longest time without an answered call.
	Median, P99, Longest time.Duration
	// CallP50 and CallP99 are percentiles of the latency of answered calls over all runs.
	CallP50, CallP99 time.Duration
}

// A measured run has one fault, which hits the issuer.
const (
	measuredFaultAt    = 8 * time.Second
	measuredFaultTime  = 5 * time.Second
	measuredFaultPhase = 16 * time.Second
)

// measuredKinds are the faults by which an issuer can be lost.
var measuredKinds = []FaultKind{Kill, PowerLoss, Freeze, Partition, OneWayPartition, DiskStall, DiskLoss, GracefulRestart}

// MeasureRecovery measures each kind of fault alone, in one run per seed.
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

// MeasureCalm measures calls in runs without faults. Gaps are recorded only after a fault, so Median, P99 and Longest
// are 0.
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

// quantile returns the value below which the given share of the sorted durations lies, 0 where there are none.
func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
