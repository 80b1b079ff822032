package simulation

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Losses that the operators' count allows at every moment must not stop the control plane, wherever votes are: after
// replacements beside frozen or returning members, and when several machines are removed as others lose their disks.
func TestRun_NoViolationOfCountedLosses(t *testing.T) {
	for seed := uint64(1); seed <= seedsEach; seed++ {
		result := requireNoViolation(t, DrawCountedLosses(seed))
		require.Positive(t, result.Acknowledged, "seed %d", seed)
	}
}
