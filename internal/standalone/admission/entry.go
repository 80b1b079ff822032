package admission

// Ticket identifies a request from Submit to its end. No request has ticket 0.
type Ticket uint64

// noIndex stands for the absence of an entry, tenant or class.
const noIndex = -1

// States of an entry.
const (
	stateFree uint8 = iota
	stateQueued
	stateInFlight
)

// entry is the state of one request. Entries are reused.
type entry struct {
	generation  uint32 // counts the uses of the entry, so that a ticket of an earlier use is not accepted
	state       uint8
	isReturning bool  // a retry that came at its Retry-After
	tenant      int32 // its index in the settings
	lane        int32 // index of the lane in the tenant
	bucket      int32 // number of the queue within the lane
	next, prev  int32 // neighbours in the queue; next of a free entry is the next free entry
	heapIndex   int32 // in admitByHeap
	client      uint64
	work        float64 // expected, in microseconds on a standard core
	admitBy     Time    // latest time at which it may be admitted
	arrivedAt   Time
	admittedAt  Time
}

// allocate returns a free entry and its ticket.
func (c *Controller) allocate() (int32, Ticket) {
	index := c.freeList
	if index == noIndex {
		index = int32(len(c.entries))
		c.entries = append(c.entries, entry{})
	} else {
		c.freeList = c.entries[index].next
	}
	generation := c.entries[index].generation + 1
	c.entries[index] = entry{generation: generation, next: noIndex, prev: noIndex, heapIndex: noIndex}
	return index, c.ticket(index)
}

// free returns an entry to the free list. Its ticket is invalid from then on.
func (c *Controller) free(index int32) {
	c.entries[index].state = stateFree
	c.entries[index].next = c.freeList
	c.freeList = index
}

// ticket returns the ticket of an entry: its generation and its index from 1.
func (c *Controller) ticket(index int32) Ticket {
	return Ticket(c.entries[index].generation)<<32 | Ticket(index+1)
}

// lookup returns the entry of a ticket, or noIndex if its request has ended.
func (c *Controller) lookup(t Ticket) int32 {
	index, generation := int64(uint32(t))-1, uint32(t>>32)
	if index < 0 || index >= int64(len(c.entries)) {
		return noIndex
	}
	if e := &c.entries[index]; e.generation != generation || e.state == stateFree {
		return noIndex
	}
	return int32(index)
}
