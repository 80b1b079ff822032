package coordinationsim

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
)

const (
	// firstFaultAt is when the first fault is injected: after the first change of votes, which is at growthDelay.
	firstFaultAt     = 5 * time.Second
	maxFaultInterval = 3 * time.Second
	minFaultTime     = 100 * time.Millisecond
	faultTimeSpread  = 3 * time.Second
	shortFaultOneIn  = 2 // one in so many faults lasts minFaultTime and up to shortFaultTime longer
	shortFaultTime   = 400 * time.Millisecond
	atIssuerOneIn    = 2
	churnOneIn       = 4 // in one of so many runs the faults are drawn from churnKinds
)

// churnKinds are the faults of a run in which the voters change often. Repeated kinds are drawn more often.
var churnKinds = []int{
	int(DiskLoss), int(DiskLoss), int(PlannedReplacement), int(ClusterPowerLoss), int(ClusterPowerLoss), int(GracefulRestart),
}

// FaultPlan returns the scripted faults of a run, or draws them from the seed.
func FaultPlan(options Options) []Fault {
	if options.ScriptedFaults != nil {
		return options.ScriptedFaults
	}
	random := rand.New(rand.NewPCG(options.Seed, planStream))
	below := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	kinds := lo.Range(int(faultKindCount))
	if random.IntN(churnOneIn) == 0 {
		kinds = churnKinds
	}
	var plan []Fault
	for at := firstFaultAt; at < options.FaultPhase; at += below(maxFaultInterval) {
		duration := minFaultTime + below(faultTimeSpread)
		if random.IntN(shortFaultOneIn) == 0 {
			duration = minFaultTime + below(shortFaultTime)
		}
		plan = append(plan, Fault{
			Index: len(plan), At: at, Kind: FaultKind(kinds[random.IntN(len(kinds))]), Duration: duration,
			Slots: random.Perm(options.Members), Count: min(options.Members, 1+random.IntN(max(1, options.Tolerance))),
			AtIssuer: random.IntN(atIssuerOneIn) == 0, Draw: random.Uint64(),
		})
	}
	return plan
}
