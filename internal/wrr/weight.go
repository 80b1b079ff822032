// Package wrr holds the formulas by which both programs weigh backends: gRFC A58's weight and gRFC A100's slow start.
// It is pure.
package wrr

import "math"

// A58 is rate / (utilization + errorShare * penalty): requests a second against how busy a backend is. errorShare is
// errors a second over requests a second.
func A58(rate, utilization, errorShare, penalty float64) float64 {
	return rate / (utilization + errorShare*penalty)
}

// SlowStart is max(floor, timeFactor^(1/aggression)) with timeFactor = max(age, second) / window, and 1 from the end of
// the window. Age, second and window are in one unit, which may be any.
func SlowStart(age, second, window, floor, aggression float64) float64 {
	if age >= window {
		return 1
	}
	return min(1, max(floor, math.Pow(max(age, second)/window, 1/aggression)))
}
