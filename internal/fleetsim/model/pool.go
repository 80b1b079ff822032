package model

// pool holds reusable values that refer to each other by index, so that the garbage collector has no pointers to
// follow. A pointer that at returned is valid until the next acquire.
type pool[T any] struct {
	items []T
	free  []int32
}

// acquire returns the index of a zero value.
func (p *pool[T]) acquire() int32 {
	if last := len(p.free) - 1; last >= 0 {
		i := p.free[last]
		p.free = p.free[:last]
		var zero T
		p.items[i] = zero
		return i
	}
	p.items = append(p.items, *new(T))
	return int32(len(p.items) - 1)
}

// release makes the index available to acquire.
func (p *pool[T]) release(i int32) { p.free = append(p.free, i) }

// at returns the value at an index. A released value stays readable until its index is acquired again.
func (p *pool[T]) at(i int32) *T { return &p.items[i] }
