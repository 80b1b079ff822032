// Package splitmix scrambles numbers, where a result must depend on nothing but its inputs and be the same in every
// process. It is pure.
package splitmix

// Mix is one step of SplitMix64 (Steele, Lea, Flood, OOPSLA 2014): a bijection of the 64-bit numbers whose results look
// random. It is no cryptographic hash.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
