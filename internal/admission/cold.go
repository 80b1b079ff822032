package admission

import "math"

// Chance decides how the balancers' sends fall together, and their work varies: what tips a cold server may
// be only a few requests. chance is how many times the square root of their number is left free for that.
// And beyond coldLoad times the guaranteed capacity a server gets no more than it can do in time, as most
// are warm before they must be.
const (
	chance   = 3
	coldLoad = 2.4
)

// ColdRate is what all balancers together may send a cold server, in mean requests a second, if it can do able requests a second, and tips when
// it is sent multiple times as many within span seconds.
func ColdRate(able, multiple, span float64) float64 {
	span = max(1e-3, span)
	root := (math.Sqrt(chance*chance+4*multiple*able*span) - chance) / 2 // root^2 + chance*root is what tips it
	return min(root*root/span, coldLoad*able)
}
