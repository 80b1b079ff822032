package simulation

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const faultPhase = 20 * time.Second

// seedsEach is how many seeds a test runs for each shape.
const seedsEach = 40

// requireNoViolation runs a simulation. If a rule is violated, it fails the test with the trace of the shrunk run.
func requireNoViolation(t *testing.T, options Options) *Result {
	t.Helper()
	result := Run(options)
	if len(result.Violations) > 0 {
		t.Fatal(Trace(Shrink(options)))
	}
	return result
}

func TestRun_NoViolationWithinTolerance(t *testing.T) {
	shapes := []struct{ members, tolerance int }{{3, 1}, {4, 1}, {5, 2}, {8, 2}}
	for _, shape := range shapes {
		total := Result{}
		for seed := uint64(1); seed <= seedsEach; seed++ {
			options := Options{Seed: seed, Members: shape.members, Tolerance: shape.tolerance, FaultPhase: faultPhase}
			result := requireNoViolation(t, options)
			require.Positive(t, result.Acknowledged, "seed %d of %v", seed, shape)
			total.Acknowledged += result.Acknowledged
			total.Rejected += result.Rejected
			total.Reads += result.Reads
			total.Leases += result.Leases
			total.Faults += result.Faults
		}
		assert.Greater(t, total.Leases, seedsEach, "the lease moves between holders")
		assert.Greater(t, total.Rejected, 0, "some changes are rejected")
		t.Logf("%v: %+v", shape, total)
	}
}

// The machines on the list of seeds may have no disks. They start the cluster, hand over to the members with disks, and
// then only relay requests.
func TestRun_DisklessMembersHandOver(t *testing.T) {
	for diskless := 1; diskless <= 3; diskless++ {
		for seed := uint64(1); seed <= seedsEach; seed++ {
			options := Options{Seed: seed, Members: 4 + diskless, Diskless: diskless, Tolerance: 1, FaultPhase: faultPhase}
			result := requireNoViolation(t, options)
			require.Positive(t, result.Acknowledged, "seed %d, %d without disks", seed, diskless)
			require.Equal(t, 4, result.Members, "seed %d, %d without disks", seed, diskless)
		}
	}
}

// If no machine has a disk, all state is in memory. A machine that restarts is a new member, which must be admitted and
// brought up to date, and the lease must still be held.
func TestRun_AllMembersDiskless(t *testing.T) {
	for _, shape := range []struct{ members, tolerance int }{{3, 1}, {4, 1}, {5, 2}} {
		leases := 0
		for seed := uint64(1); seed <= seedsEach/2; seed++ {
			options := Options{
				Seed: seed, Members: shape.members, Diskless: shape.members, Tolerance: shape.tolerance,
				FaultPhase: faultPhase,
			}
			result := requireNoViolation(t, options)
			require.Positive(t, result.Acknowledged, "seed %d of %v", seed, shape)
			require.Equal(t, shape.members, result.Members, "seed %d of %v", seed, shape)
			leases += result.Leases
		}
		assert.Greater(t, leases, seedsEach/2, "%v", shape)
	}
}

// A chain of four members does not survive the loss of two disks, so every machine with a disk has to be a member.
func TestRun_EightMembersSurviveTwoDiskLosses(t *testing.T) {
	for seed := uint64(1); seed <= seedsEach; seed++ {
		requireNoViolation(t, Options{Seed: seed, Members: 8, Tolerance: 2, FaultPhase: faultPhase})
	}
}

// Losses overlap beyond the tolerance, but no more disks are lost at a time than it allows. No acknowledged change may
// be lost, no read may be stale, and the cluster must commit changes again when the machines are back.
func TestRun_SafeBeyondTolerance(t *testing.T) {
	for seed := uint64(1); seed <= seedsEach; seed++ {
		requireNoViolation(t, Options{Seed: seed, Members: 4, Tolerance: 1, FaultPhase: faultPhase, BeyondTolerance: true})
	}
}

func TestRun_NoViolationOfDrawnOptions(t *testing.T) {
	for seed := uint64(1); seed <= seedsEach; seed++ {
		requireNoViolation(t, DrawOptions(seed))
	}
}

// Clusters of one to three machines with a tolerance of 0 must still survive partitions and the loss of all power.
func TestRun_ZeroTolerance(t *testing.T) {
	for members := 1; members <= 3; members++ {
		for seed := uint64(1); seed <= seedsEach/2; seed++ {
			requireNoViolation(t, Options{Seed: seed, Members: members, Tolerance: 0, FaultPhase: faultPhase})
		}
	}
}

// The seeds that a test runs must inject every kind of fault.
func TestFaultPlan_EveryKindIsInjected(t *testing.T) {
	isInjected := map[FaultKind]bool{}
	for seed := uint64(1); seed <= seedsEach; seed++ {
		options := Options{Seed: seed, Members: 5, Tolerance: 2, FaultPhase: faultPhase, BeyondTolerance: true}
		for _, fault := range Run(options).InjectedFaults {
			isInjected[fault.Kind] = true
		}
	}
	for kind := FaultKind(0); kind < faultKindCount; kind++ {
		assert.True(t, isInjected[kind], kind.String())
	}
}

// After a fault of one machine the others must acknowledge again within 3 seconds, which is less than maxResponseTime.
func TestMeasureRecovery_AcknowledgesSoonAfterFault(t *testing.T) {
	for _, shape := range []struct{ members, tolerance int }{{3, 1}, {4, 1}, {8, 2}} {
		for _, recovery := range MeasureRecovery(shape.members, shape.tolerance, uint64(shape.members)) {
			assert.Less(t, recovery.Longest, 3*time.Second, "%v of %v", recovery.Kind, shape)
			t.Logf("%v %v: %+v", shape, recovery.Kind, recovery)
		}
	}
}

func TestRun_IsDeterministic(t *testing.T) {
	options := Options{Seed: 7, Members: 5, Tolerance: 2, FaultPhase: faultPhase}
	assert.Equal(t, Run(options), Run(options))
}

// Shrink must return a run with fewer faults that violates the same rule.
func TestShrink_KeepsViolation(t *testing.T) {
	options := Options{Seed: 3, Members: 3, Tolerance: 1, FaultPhase: faultPhase, Defect: KeepIdentityOnDiskLoss}
	for len(Run(options).Violations) == 0 {
		options.Seed++
	}
	smaller := Shrink(options)
	assert.NotEmpty(t, smaller.OmittedFaults)
	assert.Equal(t, firstViolatedRule(Run(options)), firstViolatedRule(Run(smaller)))
	trace := Trace(smaller)
	assert.Contains(t, trace, "view 1: chain")
	assert.Less(t, strings.Count(trace, "places"), len(Run(options).InjectedFaults)+1)
}

// Some seed must find each defect: a check that cannot fail checks nothing.
func TestRun_FindsPlantedDefects(t *testing.T) {
	for _, defect := range Defects() {
		t.Run(defect.String(), func(t *testing.T) {
			const maxSeeds = 400
			for seed := uint64(1); seed <= maxSeeds; seed++ {
				options := Options{Seed: seed, Members: 4, Tolerance: 1, FaultPhase: faultPhase, Defect: defect}
				options.BeyondTolerance = defect.needsBeyondTolerance() && seed%2 == 0
				if defect == AcknowledgeUnsynced {
					options.MaxSyncTime = 40 * time.Millisecond
				}
				result := Run(options)
				if len(result.Violations) > 0 {
					t.Logf("seed %d: %v", seed, result.Violations[0])
					return
				}
			}
			t.Fatalf("none of %d seeds finds the defect", maxSeeds)
		})
	}
}
