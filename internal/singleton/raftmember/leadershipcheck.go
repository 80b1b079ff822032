package raftmember

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"
)

// leadershipChecks make a quorum confirm that this member still leads, before a response to a heartbeat is sent
// (ReadIndex, section 6.4 of Ongaro's thesis). One check is in flight at a time; callbacks that are added meanwhile
// wait for the next, as a check proves nothing about the time after its start. Owned by the raft loop.
type leadershipChecks struct {
	waiting  []func(isLeader bool) // for the next check
	inFlight *leadershipCheck      // nil: none
	lastID   uint64                // ID of the latest check
}

type leadershipCheck struct {
	id        uint64
	callbacks []func(isLeader bool)
	confirmed bool
	index     uint64 // once confirmed: the callbacks are called when the entry of this index is applied
}

// add registers a callback. The raft loop calls it with the result of a check that has not started yet.
func (c *leadershipChecks) add(callback func(isLeader bool)) { c.waiting = append(c.waiting, callback) }

// start starts a check for all waiting callbacks, unless a check is in flight.
func (c *leadershipChecks) start(node *raft.RawNode) {
	if len(c.waiting) == 0 || c.inFlight != nil {
		return
	}
	c.lastID++
	c.inFlight = &leadershipCheck{id: c.lastID, callbacks: c.waiting}
	c.waiting = nil
	node.ReadIndex(indexKey(c.lastID))
}

// confirm processes raft's confirmations, and ends the check in flight once its index is applied.
func (c *leadershipChecks) confirm(confirmations []raft.ReadState, applied uint64) {
	if c.inFlight == nil {
		return
	}
	for _, r := range confirmations {
		if binary.BigEndian.Uint64(r.RequestCtx) == c.inFlight.id {
			c.inFlight.confirmed, c.inFlight.index = true, r.Index
		}
	}
	if !c.inFlight.confirmed || applied < c.inFlight.index {
		return
	}
	for _, callback := range c.inFlight.callbacks {
		callback(true)
	}
	c.inFlight = nil
}

// fail ends all checks with false: this member may no longer lead.
func (c *leadershipChecks) fail() {
	if c.inFlight != nil {
		for _, callback := range c.inFlight.callbacks {
			callback(false)
		}
	}
	for _, callback := range c.waiting {
		callback(false)
	}
	c.inFlight, c.waiting = nil, nil
}
