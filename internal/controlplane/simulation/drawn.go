package simulation

import (
	"math/rand/v2"
	"time"
)

// Bounds of drawn shapes.
const (
	leastMembers   = 3
	mostMembers    = 9
	twoToleratedBy = 5 // members that it takes to bear the loss of two
	drawnLength    = 40 * time.Second
	shapeStream    = 0x73686170
	volatileOneIn  = 5
	mostVolatile   = 3
	disklessOneIn  = 25
)

// Drawn returns the options of a run whose shape follows from the seed: members, tolerance, how many machines have no
// disk, and whether losses overlap beyond the tolerance.
func Drawn(seed uint64) Options {
	random := rand.New(rand.NewPCG(seed, shapeStream))
	options := Options{
		Seed: seed, Members: leastMembers + random.IntN(mostMembers-leastMembers+1), Tolerance: 1, Length: drawnLength,
		Wild: random.IntN(2) == 0,
	}
	if options.Members >= twoToleratedBy {
		options.Tolerance += random.IntN(2)
	}
	if random.IntN(volatileOneIn) == 0 {
		options.Volatile = 1 + random.IntN(mostVolatile)
		options.Members += options.Volatile
	}
	if options.Volatile == 0 && random.IntN(disklessOneIn) == 0 {
		options.Volatile = options.Members
	}
	return options
}
