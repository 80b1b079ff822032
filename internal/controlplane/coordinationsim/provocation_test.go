package coordinationsim

import (
	"math/rand/v2"
	"time"
)

// provokedPhase is how long faults are injected to show a defect; one round of them begins every provokedInterval.
const (
	provokedPhase    = 17 * time.Second
	provokedInterval = 3 * time.Second
	provokedSpread   = 300 * time.Millisecond // random delay of each fault
)

// provokingOptions are those of a run whose faults show a defect soon: drawn ones, or the same round of faults again and again.
func provokingOptions(defect Defect, seed uint64) Options {
	options := DrawOptions(seed)
	members, round := provokingRound(defect)
	if round == nil {
		return options
	}
	options.Members, options.Tolerance, options.FaultPhase = members, 1, provokedPhase
	options.ScriptedFaults = []Fault{}
	random := rand.New(rand.NewPCG(seed, planStream))
	for start := firstFaultAt; start < provokedPhase; start += provokedInterval {
		for _, fault := range round {
			fault.At += start + time.Duration(random.Int64N(int64(provokedSpread)))
			fault.Index = len(options.ScriptedFaults)
			options.ScriptedFaults = append(options.ScriptedFaults, fault)
		}
	}
	return options
}

// provokingRound returns how many members a defect shows with, and a round of faults that shows it; nil: the faults that a seed
// draws show it.
func provokingRound(defect Defect) (members int, round []Fault) {
	const after, short, long = 500 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond
	everywhere := []int{0, 1, 2}
	switch defect {
	case AnswerBeforeMajority, ReadUnconfirmed, DecideByMinority:
		return 3, []Fault{{Kind: Partition, Duration: long, Slots: everywhere, Count: 1, AtIssuer: true}}
	case AcknowledgeUnsynced:
		return 3, []Fault{
			{Kind: DiskStall, Duration: long, Slots: everywhere, Count: 3},
			{Kind: ClusterPowerLoss, At: after, Duration: short, Slots: everywhere, Count: 1}}
	case ForgetPromise, TimeoutAsNothingDone:
		return 3, []Fault{{Kind: SlowLinks, Duration: long, Slots: everywhere, Count: 1, AtIssuer: true}}
	case ForgetTokens, ForgetNumbers, ForgetHistory, IgnoreHolds:
		return 3, []Fault{{Kind: ClusterPowerLoss, Duration: short, Slots: everywhere, Count: 1}}
	case KeepIdentityOnDiskLoss:
		return 3, []Fault{
			{Kind: Partition, Duration: long, Slots: []int{2, 0, 1}, Count: 1},
			{Kind: DiskLoss, At: after, Duration: short, Slots: []int{1, 0, 2}, Count: 1},
			{Kind: PowerLoss, At: 2 * after, Duration: long, Slots: everywhere, Count: 1}}
	}
	return 0, nil
}
