package coordinationsim

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// seedsInTest is how many drawn runs the tests make. pumicectl simulate-coordination runs any number.
const seedsInTest = 20

// maxSeedsOfDefect is how many seeds are tried until one finds a planted defect.
const maxSeedsOfDefect = 60

func TestRun_NoViolationOfDrawnOptions(t *testing.T) {
	t.Parallel()
	var total Result
	isInjected := map[FaultKind]bool{}
	hasLostDisks := false // in a ClusterPowerLoss
	for seed := uint64(1); seed <= seedsInTest; seed++ {
		options := DrawOptions(seed)
		result := Run(options)
		if len(result.Violations) > 0 {
			t.Fatal(Trace(Shrink(options)))
		}
		total.Answered += result.Answered
		total.Grants += result.Grants
		total.Puts += result.Puts
		total.Events += result.Events
		total.Issuers += result.Issuers
		total.LateRefusals += result.LateRefusals
		total.LostHolds += result.LostHolds
		for _, fault := range result.InjectedFaults {
			isInjected[fault.Kind] = true
			hasLostDisks = hasLostDisks || fault.Kind == ClusterPowerLoss && fault.disksLost() > 0
		}
	}
	for kind := FaultKind(0); kind < faultKindCount; kind++ {
		assert.True(t, isInjected[kind], kind.String())
	}
	assert.True(t, hasLostDisks)
	assert.Greater(t, total.Issuers, 2*seedsInTest, "the issuer is lost in most runs")
	assert.Greater(t, total.Grants, seedsInTest)
	assert.Greater(t, total.Puts, seedsInTest)
	assert.Greater(t, total.Events, seedsInTest)
	t.Logf("%+v", total)
}

func TestRun_IsDeterministic(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 4; seed++ {
		first, second := newCluster(DrawOptions(seed)), newCluster(DrawOptions(seed))
		assert.Equal(t, first.run(), second.run())
		assert.Equal(t, first.log, second.log)
	}
}

// Some seed must find each defect: a check that cannot fail checks nothing. Without the defect the same seed must find
// no violation.
func TestRun_FindsPlantedDefects(t *testing.T) {
	t.Parallel()
	for _, defect := range Defects() {
		t.Run(defect.String(), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= maxSeedsOfDefect; seed++ {
				options := provokingOptions(defect, seed)
				options.Defect = defect
				result := Run(options)
				if len(result.Violations) == 0 {
					continue
				}
				options.Defect = NoDefect
				if len(Run(options).Violations) == 0 {
					t.Logf("seed %d: %v", seed, result.Violations[0])
					return
				}
			}
			t.Fatalf("none of %d seeds finds the defect", maxSeedsOfDefect)
		})
	}
}

// Shrink must return a run with no more faults that violates the same rule.
func TestShrink_KeepsViolation(t *testing.T) {
	t.Parallel()
	options := provokingOptions(AnswerBeforeMajority, 1)
	options.Defect = AnswerBeforeMajority
	for len(Run(options).Violations) == 0 {
		options.Seed++
	}
	smaller := Shrink(options)
	assert.Equal(t, firstViolatedRule(Run(options)), firstViolatedRule(Run(smaller)))
	assert.LessOrEqual(t, len(Run(smaller).InjectedFaults), len(Run(options).InjectedFaults))
	assert.Contains(t, Trace(smaller), smaller.String())
}

func TestParseOptions_ReadsStringOutput(t *testing.T) {
	options := DrawOptions(5)
	options.OmittedFaults, options.WithoutFinalFault, options.Defect = []int{1, 3}, true, LoseTokens
	parsed, err := ParseOptions(options.String())
	require.NoError(t, err)
	assert.Equal(t, options, parsed)
	_, err = ParseOptions("{")
	assert.Error(t, err)
}

func TestDrawOptions_WithinBounds(t *testing.T) {
	const seeds = 500
	isDrawn := map[[2]int]bool{}
	for seed := uint64(1); seed <= seeds; seed++ {
		options := DrawOptions(seed)
		assert.Equal(t, options, DrawOptions(seed), "the same seed draws the same options")
		assert.LessOrEqual(t, 2*options.Tolerance, options.Members, "the others are a majority")
		isDrawn[[2]int{options.Members, options.Tolerance}] = true
	}
	assert.Len(t, isDrawn, len(drawnShapes))
}

// After the loss of an issuer another one must answer calls within recoveryBound.
func TestMeasureRecovery_AnswersSoonAfterLossOfIssuer(t *testing.T) {
	t.Parallel()
	for _, recovery := range MeasureRecovery(5, 2, 1) {
		assert.Less(t, recovery.Longest, recoveryBound, recovery.Kind.String())
	}
}
