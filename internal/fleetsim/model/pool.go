package model

// acquire takes a place in a pool.
func acquire[T any](pool *[]T, free *[]int32) int32 {
	if n := len(*free) - 1; n >= 0 {
		i := (*free)[n]
		*free = (*free)[:n]
		var zero T
		(*pool)[i] = zero
		return i
	}
	*pool = append(*pool, *new(T))
	return int32(len(*pool) - 1)
}
