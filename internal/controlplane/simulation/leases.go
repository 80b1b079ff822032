package simulation

import (
	"fmt"
	"time"

	"pumiceline/internal/message"
)

// leaseCheck sees who holds the controller lease at any moment.
type leaseCheck struct {
	holder  *node
	life    int
	token   message.FencingToken
	until   time.Duration // end of the lease as its holder knows it
	highest message.FencingToken
	count   int
}

type leaseHold struct {
	token message.FencingToken
	until time.Duration
}

// watchLease compares a node's belief with what was seen before.
func (n *node) watchLease() {
	n.noteView()
	c := n.cluster
	lease, ok := n.replica.Lease(n.clock())
	token, until := lease.Token, lease.ExpiresAt
	if c.options.Defect == IgnoreLeaseEnd && !ok && n.lastLease.token != 0 {
		token, until, ok = n.lastLease.token, n.clock()+time.Millisecond, true
	}
	if !ok {
		return
	}
	n.lastLease = leaseHold{token: token, until: until}
	seen := &c.leases
	ends := c.now + until - n.clock()
	if seen.holder == n && seen.life == n.life && seen.token == token {
		seen.until = max(seen.until, ends)
		return
	}
	sameProcess := seen.holder == n && seen.life == n.life
	if seen.holder != nil && !sameProcess && c.now < seen.until && seen.stillHolds() {
		c.violate("ONE", fmt.Sprintf("node %d holds the lease while node %d has it", n.index, seen.holder.index))
	}
	if token <= seen.highest {
		c.violate("ONE", fmt.Sprintf("node %d has token %d after %d", n.index, token, seen.highest))
	}
	seen.holder, seen.life, seen.token, seen.until = n, n.life, token, ends
	seen.highest = max(seen.highest, token)
	seen.count++
}

// stillHolds reports whether the process that held the lease still believes so.
func (l *leaseCheck) stillHolds() bool {
	n := l.holder
	if n.replica == nil || n.life != l.life {
		return false
	}
	if n.cluster.options.Defect == IgnoreLeaseEnd {
		return true
	}
	lease, ok := n.replica.Lease(n.clock())
	return ok && lease.Token == l.token
}
