package model

import (
	"math"
	"math/rand/v2"
)

// lognormal draws from the lognormal distribution with the given mean and coefficient of variation.
func lognormal(rng *rand.Rand, mean, cv float64) float64 {
	if cv <= 0 {
		return mean
	}
	variance := math.Log(1 + cv*cv) // of the logarithm
	return mean * math.Exp(math.Sqrt(variance)*rng.NormFloat64()-variance/2)
}

// mix is the finaliser of SplitMix64 (Steele, Lea, Flood, OOPSLA 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitFloat maps 64 random bits to a number from 0 up to, but not including, 1.
func unitFloat(bits uint64) float64 { return float64(bits>>11) / (1 << 53) }
