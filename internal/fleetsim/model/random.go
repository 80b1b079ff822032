package model

import (
	"math"
	"math/rand/v2"
)

func lognormal(g *rand.Rand, mean, cv float64) float64 {
	if cv <= 0 {
		return mean
	}
	s2 := math.Log(1 + cv*cv)
	return mean * math.Exp(math.Sqrt(s2)*g.NormFloat64()-s2/2)
}

// habit draws a number from 0 to 1 that belongs to the client and the purpose alone.
func (c *clientRequest) draw(purpose uint64) float64 {
	return float64(mix(c.behaviour+purpose*0x9e3779b97f4a7c15)>>11) / (1 << 53)
}

// mix is the finaliser of SplitMix64 (Steele, Lea, Flood, OOPSLA 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
