package coordinationsim

import (
	"math/rand/v2"
	"time"
)

// provokedPhase is how long faults are injected to show a defect; one round of them begins every provokedInterval.
const (
	provokedPhase    = 17 * time.Second
	provokedInterval = 3 * time.Second
	provokedSpread   = 300 * time.Millisecond // random delay of each round
	onlyOnce         = provokedPhase          // as an interval
)

// What the Draw of a OneWayPartition does.
const (
	holdSent     = 0 // what the machine sends arrives late
	loseReceived = 3 // what is sent to it is lost
)

// provokingOptions are those of a run whose faults show a defect soon: drawn ones, or the same round of faults again and again.
func provokingOptions(defect Defect, seed uint64) Options {
	options := DrawOptions(seed)
	interval, round := provokingRound(defect)
	if round == nil {
		return options
	}
	options.Members, options.Tolerance, options.FaultPhase = seedCount, 1, provokedPhase
	options.ScriptedFaults = []Fault{}
	random := rand.New(rand.NewPCG(seed, planStream))
	for start := firstFaultAt; start < provokedPhase; start += interval {
		delay := time.Duration(random.Int64N(int64(provokedSpread)))
		for _, fault := range round {
			fault.At += start + delay
			fault.Index = len(options.ScriptedFaults)
			options.ScriptedFaults = append(options.ScriptedFaults, fault)
		}
	}
	return options
}

// provokingRound returns a round of faults that shows a defect, with the time after which it is repeated; nil: the faults that
// a seed draws show it.
func provokingRound(defect Defect) (interval time.Duration, round []Fault) {
	const after, short, long = 500 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond
	everywhere := []int{0, 1, 2}
	switch defect {
	case AnswerBeforeMajority, ReadUnconfirmed, DecideByMinority:
		return provokedInterval, []Fault{{Kind: Partition, Duration: long, Slots: everywhere, Count: 1, AtIssuer: true}}
	case AcknowledgeUnsynced:
		return provokedInterval, []Fault{
			{Kind: DiskStall, Duration: long, Slots: everywhere, Count: 3},
			{Kind: ClusterPowerLoss, At: after, Duration: short, Slots: everywhere, Count: 1}}
	case ForgetPromise: // what an issuer wrote arrives just after another one was promised its epoch
		for i, duration := range []time.Duration{480, 490, 500, 510} {
			silenced := Fault{
				Kind: OneWayPartition, At: time.Duration(i) * provokedInterval, Duration: duration * time.Millisecond,
				Slots: everywhere, Count: 1, AtIssuer: true, Draw: holdSent,
			}
			deafened := silenced
			deafened.Draw = loseReceived
			round = append(round, silenced, deafened)
		}
		return onlyOnce, round
	case TimeoutAsNothingDone:
		return provokedInterval, []Fault{{Kind: SlowLinks, Duration: long, Slots: everywhere, Count: 1, AtIssuer: true}}
	case ForgetTokens, ForgetNumbers, ForgetHistory, IgnoreHolds:
		return provokedInterval, []Fault{{Kind: ClusterPowerLoss, Duration: short, Slots: everywhere, Count: 1}}
	case KeepIdentityOnDiskLoss:
		return provokedInterval, []Fault{
			{Kind: Partition, Duration: long, Slots: []int{2, 0, 1}, Count: 1},
			{Kind: DiskLoss, At: after, Duration: short, Slots: []int{1, 0, 2}, Count: 1},
			{Kind: PowerLoss, At: 2 * after, Duration: long, Slots: everywhere, Count: 1}}
	case CountNewcomer: // one that still has all leaves, when the other missed the newest writes
		return onlyOnce, []Fault{
			{Kind: DiskLoss, Duration: short, Slots: []int{2, 0, 1}, Count: 1},
			{Kind: Partition, At: 8 * time.Second, Duration: long, Slots: []int{1, 0, 2}, Count: 1},
			{Kind: DiskLoss, At: 9 * time.Second, Duration: short, Slots: everywhere, Count: 1}}
	case ReleaseByOldToken:
		return provokedInterval, []Fault{{Kind: SlowLinks, Duration: long, Slots: everywhere, Count: 3}}
	}
	return 0, nil
}
