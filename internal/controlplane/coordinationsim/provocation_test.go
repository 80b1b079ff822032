package coordinationsim

import (
	"math/rand/v2"
	"time"
)

// Faults are injected until provokedPhase to make a defect show; a round of them begins every provokedInterval.
const (
	provokedPhase    = 17 * time.Second
	provokedInterval = 3 * time.Second
	provokedSpread   = 300 * time.Millisecond // random delay of each round
	onlyOnce         = provokedPhase          // as an interval: the round runs a single time
)

// Values of Draw for a OneWayPartition.
const (
	holdSent     = 0 // messages from the machine arrive late
	loseReceived = 3 // messages to the machine are lost
)

// provokingOptions returns options whose faults show a defect soon: drawn faults, or the same round of faults
// repeatedly.
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

// provokingRound returns a round of faults that shows a defect, and the interval of its repetition. A nil round means
// that drawn faults show the defect.
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
	case LosePromise: // the old issuer's writes arrive just after the acceptors promised the epoch of another one
		for i, duration := range []time.Duration{480, 490, 500, 510} {
			lateSends := Fault{
				Kind: OneWayPartition, At: time.Duration(i) * provokedInterval, Duration: duration * time.Millisecond,
				Slots: everywhere, Count: 1, AtIssuer: true, Draw: holdSent,
			}
			lostReceives := lateSends
			lostReceives.Draw = loseReceived
			round = append(round, lateSends, lostReceives)
		}
		return onlyOnce, round
	case TimeoutAsNothingDone:
		return provokedInterval, []Fault{{Kind: SlowLinks, Duration: long, Slots: everywhere, Count: 1, AtIssuer: true}}
	case LoseTokens, LoseNumbers, LoseHistory, IgnoreHolds:
		return provokedInterval, []Fault{{Kind: ClusterPowerLoss, Duration: short, Slots: everywhere, Count: 1}}
	case KeepIdentityOnDiskLoss:
		return provokedInterval, []Fault{
			{Kind: Partition, Duration: long, Slots: []int{2, 0, 1}, Count: 1},
			{Kind: DiskLoss, At: after, Duration: short, Slots: []int{1, 0, 2}, Count: 1},
			{Kind: PowerLoss, At: 2 * after, Duration: long, Slots: everywhere, Count: 1}}
	case AcceptWithoutState: // machine 0 alone has all writes and loses its disk; machine 1 missed some
		return onlyOnce, []Fault{
			{Kind: DiskLoss, Duration: short, Slots: []int{2, 0, 1}, Count: 1},
			{Kind: Partition, At: 8 * time.Second, Duration: long, Slots: []int{1, 0, 2}, Count: 1},
			{Kind: DiskLoss, At: 9 * time.Second, Duration: short, Slots: everywhere, Count: 1}}
	case ReleaseByOldToken:
		return provokedInterval, []Fault{{Kind: SlowLinks, Duration: long, Slots: everywhere, Count: 3}}
	}
	return 0, nil
}
