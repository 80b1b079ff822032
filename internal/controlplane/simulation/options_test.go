package simulation

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDrawOptions_WithinBounds(t *testing.T) {
	const seeds = 2000
	drawnTolerances := map[int]bool{}
	beyond, someDiskless, allDiskless := 0, 0, 0
	for seed := uint64(1); seed <= seeds; seed++ {
		options := DrawOptions(seed)
		assert.Equal(t, options, DrawOptions(seed), "the same seed draws the same options")
		withDisk := options.Members - options.Diskless
		switch {
		case withDisk == 0:
			allDiskless++
		case options.Diskless > 0:
			someDiskless++
			assert.LessOrEqual(t, options.Diskless, maxDiskless)
		}
		if withDisk > 0 {
			assert.GreaterOrEqual(t, withDisk, minMembers)
			assert.LessOrEqual(t, withDisk, maxMembers)
		}
		if options.Tolerance == 2 {
			assert.GreaterOrEqual(t, max(withDisk, options.Diskless), minMembersForTwo)
		}
		drawnTolerances[options.Tolerance] = true
		if options.BeyondTolerance {
			beyond++
		}
	}
	assert.Equal(t, map[int]bool{1: true, 2: true}, drawnTolerances)
	assert.InDelta(t, seeds/2, beyond, seeds/20)
	assert.InDelta(t, seeds/someDisklessOneIn, someDiskless, seeds/20)
	assert.InDelta(t, seeds/allDisklessOneIn, allDiskless, seeds/40)
}
