package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const runLength = 20 * time.Second

// seedsEach is how many seeds a plain test run plays of each shape.
const seedsEach = 40

func TestNoRuleIsBrokenWithinTheTolerance(t *testing.T) {
	shapes := []struct{ members, tolerance int }{{3, 1}, {4, 1}, {5, 2}, {8, 2}}
	for _, shape := range shapes {
		total := Result{}
		for seed := uint64(1); seed <= seedsEach; seed++ {
			result := Run(Options{Seed: seed, Members: shape.members, Tolerance: shape.tolerance, Length: runLength})
			require.Empty(t, result.Violations, "seed %d of %v", seed, shape)
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
			result := Run(options)
			require.Empty(t, result.Violations, "seed %d, %d without disks", seed, volatile)
			require.Positive(t, result.Acknowledged, "seed %d, %d without disks", seed, volatile)
			require.Equal(t, 4, result.Members, "seed %d, %d without disks", seed, volatile)
		}
	}
}

// Found on the bench: four members cannot bear two lost disks, so every machine with a disk has to be one.
func TestEightMembersBearTwoLostDisks(t *testing.T) {
	for seed := uint64(1); seed <= seedsEach; seed++ {
		result := Run(Options{Seed: seed, Members: 8, Tolerance: 2, Length: runLength})
		require.Empty(t, result.Violations, "seed %d", seed)
	}
}

func TestSafetyHoldsBeyondTheTolerance(t *testing.T) {
	for seed := uint64(1); seed <= seedsEach; seed++ {
		result := Run(Options{Seed: seed, Members: 4, Tolerance: 1, Length: runLength, Wild: true})
		require.Empty(t, result.Violations, "seed %d", seed)
	}
}

func TestARunRepeats(t *testing.T) {
	options := Options{Seed: 7, Members: 5, Tolerance: 2, Length: runLength}
	assert.Equal(t, Run(options), Run(options))
}

// Each defect must be found by some seed: a checker that cannot fail checks nothing.
func TestPlantedDefectsAreFound(t *testing.T) {
	names := map[Defect]string{
		AcknowledgeUnsynced: "acknowledge before the sync", KeepIdentityOnWipe: "an empty disk that votes",
		ReadUnconfirmed: "a read without a majority", GrantTwice: "a lease granted twice",
		RefuseUnconfirmed: "a refusal without a majority",
		MinorityView:      "a view by a minority", SkipMember: "an acknowledgement without the chain",
		IgnoreLeaseEnd: "a holder that goes on",
	}
	for defect := NoDefect + 1; defect < defectCount; defect++ {
		t.Run(names[defect], func(t *testing.T) {
			const most = 400
			for seed := uint64(1); seed <= most; seed++ {
				wild := defect == ReadUnconfirmed || defect == RefuseUnconfirmed || defect == MinorityView
				options := Options{Seed: seed, Members: 4, Tolerance: 1, Length: runLength, Defect: defect}
				options.Wild = wild && seed%2 == 0
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
