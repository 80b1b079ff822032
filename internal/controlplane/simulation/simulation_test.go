package simulation

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const runLength = 20 * time.Second

// seedsEach is how many seeds a plain test run plays of each shape.
const seedsEach = 40

// requireClean plays a run and fails with its story, shrunk, where a rule breaks.
func requireClean(t *testing.T, options Options) *Result {
	t.Helper()
	result := Run(options)
	if len(result.Violations) > 0 {
		t.Fatal(Story(Shrink(options)))
	}
	return result
}

func TestNoRuleIsBrokenWithinTheTolerance(t *testing.T) {
	shapes := []struct{ members, tolerance int }{{3, 1}, {4, 1}, {5, 2}, {8, 2}}
	for _, shape := range shapes {
		total := Result{}
		for seed := uint64(1); seed <= seedsEach; seed++ {
			result := requireClean(t, Options{Seed: seed, Members: shape.members, Tolerance: shape.tolerance, Length: runLength})
			require.Positive(t, result.Acknowledged, "seed %d of %v", seed, shape)
			total.Acknowledged += result.Acknowledged
			total.Refused += result.Refused
			total.Reads += result.Reads
			total.Leases += result.Leases
			total.Faults += result.Faults
		}
		assert.Greater(t, total.Leases, seedsEach, "leases change hands")
		assert.Greater(t, total.Refused, 0, "some changes are refused")
		t.Logf("%v: %+v", shape, total)
	}
}

// The seeds may be machines without disks: they start the system and then only pass calls on.
func TestMembersWithoutDisksHandOver(t *testing.T) {
	for volatile := 1; volatile <= 3; volatile++ {
		for seed := uint64(1); seed <= seedsEach; seed++ {
			options := Options{Seed: seed, Members: 4 + volatile, Volatile: volatile, Tolerance: 1, Length: runLength}
			result := requireClean(t, options)
			require.Positive(t, result.Acknowledged, "seed %d, %d without disks", seed, volatile)
			require.Equal(t, 4, result.Members, "seed %d, %d without disks", seed, volatile)
		}
	}
}

// Where no machine has a disk, all that matters is in memory: a machine that restarts is another one, which is admitted
// and brought up to date, and somebody holds the lease.
func TestSystemsWithoutAnyDisk(t *testing.T) {
	for _, shape := range []struct{ members, tolerance int }{{3, 1}, {4, 1}, {5, 2}} {
		leases := 0
		for seed := uint64(1); seed <= seedsEach/2; seed++ {
			options := Options{Seed: seed, Members: shape.members, Volatile: shape.members, Tolerance: shape.tolerance, Length: runLength}
			result := requireClean(t, options)
			require.Positive(t, result.Acknowledged, "seed %d of %v", seed, shape)
			require.Equal(t, shape.members, result.Members, "seed %d of %v", seed, shape)
			leases += result.Leases
		}
		assert.Greater(t, leases, seedsEach/2, "%v", shape)
	}
}

// Found on the bench: four members cannot bear two lost disks, so every machine with a disk has to be one.
func TestEightMembersBearTwoLostDisks(t *testing.T) {
	for seed := uint64(1); seed <= seedsEach; seed++ {
		requireClean(t, Options{Seed: seed, Members: 8, Tolerance: 2, Length: runLength})
	}
}

// Losses overlap beyond the tolerance, but no more disks are lost at a time than it allows: nothing acknowledged is
// lost or shown older, and the system serves again when the machines are back.
func TestSafetyHoldsBeyondTheTolerance(t *testing.T) {
	for seed := uint64(1); seed <= seedsEach; seed++ {
		requireClean(t, Options{Seed: seed, Members: 4, Tolerance: 1, Length: runLength, Wild: true})
	}
}

func TestDrawnShapesKeepTheRules(t *testing.T) {
	for seed := uint64(1); seed <= seedsEach; seed++ {
		requireClean(t, Drawn(seed))
	}
}

// Systems of one to three machines that need to bear no loss still bear the loss of all power, and cuts.
func TestSystemsThatBearNoLoss(t *testing.T) {
	for members := 1; members <= 3; members++ {
		for seed := uint64(1); seed <= seedsEach/2; seed++ {
			requireClean(t, Options{Seed: seed, Members: members, Tolerance: 0, Length: runLength})
		}
	}
}

// Every kind of harm must be brought about by the seeds that a plain test run plays.
func TestEveryKindOfFaultStrikes(t *testing.T) {
	struck := map[FaultKind]bool{}
	for seed := uint64(1); seed <= seedsEach; seed++ {
		for _, fault := range Run(Options{Seed: seed, Members: 5, Tolerance: 2, Length: runLength, Wild: true}).Struck {
			struck[fault.Kind] = true
		}
	}
	for kind := FaultKind(0); kind < faultKinds; kind++ {
		assert.True(t, struck[kind], kind.String())
	}
}

// After the loss of one machine the others acknowledge again well within the operators' four seconds.
func TestPausesAfterALoss(t *testing.T) {
	for _, shape := range []struct{ members, tolerance int }{{3, 1}, {4, 1}, {8, 2}} {
		for _, pause := range MeasurePauses(shape.members, shape.tolerance, uint64(shape.members)) {
			assert.Less(t, pause.Longest, 3*time.Second, "%v of %v", pause.Kind, shape)
			t.Logf("%v %v: %+v", shape, pause.Kind, pause)
		}
	}
}

func TestARunRepeats(t *testing.T) {
	options := Options{Seed: 7, Members: 5, Tolerance: 2, Length: runLength}
	assert.Equal(t, Run(options), Run(options))
}

// A failing run is shrunk to fewer faults that still break the rule, and told.
func TestAFailingRunIsShrunk(t *testing.T) {
	options := Options{Seed: 3, Members: 3, Tolerance: 1, Length: runLength, Defect: KeepIdentityOnWipe}
	for len(Run(options).Violations) == 0 {
		options.Seed++
	}
	smaller := Shrink(options)
	assert.NotEmpty(t, smaller.Without)
	assert.Equal(t, firstRule(Run(options)), firstRule(Run(smaller)))
	story := Story(smaller)
	assert.Contains(t, story, "view 1: chain")
	assert.Less(t, strings.Count(story, "places"), len(Run(options).Struck)+1)
}

// Each defect must be found by some seed: a checker that cannot fail checks nothing.
func TestPlantedDefectsAreFound(t *testing.T) {
	for _, defect := range Defects() {
		t.Run(defect.String(), func(t *testing.T) {
			const most = 400
			for seed := uint64(1); seed <= most; seed++ {
				options := Options{Seed: seed, Members: 4, Tolerance: 1, Length: runLength, Defect: defect}
				options.Wild = defect.isWild() && seed%2 == 0
				if defect == AcknowledgeUnsynced {
					options.Sync = 40 * time.Millisecond
				}
				result := Run(options)
				if len(result.Violations) > 0 {
					t.Logf("seed %d: %v", seed, result.Violations[0])
					return
				}
			}
			t.Fatalf("no seed of %d finds it", most)
		})
	}
}
