package coordinationsim

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
)

const (
	// firstFaultAt is when the first fault is injected: the first votes have moved by then.
	firstFaultAt     = 5 * time.Second
	maxFaultInterval = 3 * time.Second
	minFaultTime     = 100 * time.Millisecond
	faultTimeSpread  = 3 * time.Second
	shortFaultOneIn  = 2 // one in so many faults lasts at most shortFaultTime
	shortFaultTime   = 400 * time.Millisecond
	atIssuerOneIn    = 2
	churnOneIn       = 4 // in one of so many runs most faults are losses of disks and replacements
)

// churnKinds are the faults of a run in which the voters change often.
var churnKinds = []int{
	int(DiskLoss), int(DiskLoss), int(PlannedReplacement), int(ClusterPowerLoss), int(ClusterPowerLoss), int(GracefulRestart),
}

// FaultPlan draws the faults of a run.
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
