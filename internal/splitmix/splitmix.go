// Package splitmix hashes integers. Unlike hash/maphash, a result depends only on the input and is the same in every
// process. The package is pure.
package splitmix

// Mix is one step of SplitMix64 (Steele, Lea, Flood, OOPSLA 2014): a bijection of the 64-bit integers whose results
// look random. It is not a cryptographic hash.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
