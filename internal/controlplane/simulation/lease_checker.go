package simulation

import (
	"fmt"
	"time"

	"pumiceline/internal/message"
)

// leaseChecker checks RuleOneLeaseHolder. It records the last holder of the controller lease.
type leaseChecker struct {
	holder       *node
	generation   int // of the holder's process
	token        message.FencingToken
	expiresAt    time.Duration // in the run's time, when the holder regards its lease as expired
	highestToken message.FencingToken
	count        int // number of leases so far
}

// heldLease is a lease from the view of its holder.
type heldLease struct {
	token     message.FencingToken
	expiresAt time.Duration // by the holder's clock
}

// currentLease returns the lease that the process itself regards as held now; ok is false where there is none.
func (n *node) currentLease() (_ heldLease, ok bool) {
	if lease, ok := n.replica.Lease(n.clock()); ok {
		return heldLease{token: lease.Token, expiresAt: lease.ExpiresAt}, true
	}
	if n.cluster.options.Defect == IgnoreLeaseExpiry && n.heldLease.token != 0 {
		return heldLease{token: n.heldLease.token, expiresAt: n.clock() + time.Millisecond}, true
	}
	return heldLease{}, false
}

// observeLease checks the lease that the process regards as held against the leases observed before.
func (n *node) observeLease() {
	lease, ok := n.currentLease()
	if !ok {
		return
	}
	n.heldLease = lease
	c := n.cluster
	checker := &c.leases
	expiresAt := c.now + lease.expiresAt - n.clock()
	isSameProcess := checker.holder == n && checker.generation == n.generation
	if isSameProcess && checker.token == lease.token { // renewed
		checker.expiresAt = max(checker.expiresAt, expiresAt)
		return
	}
	if checker.holder != nil && !isSameProcess && c.now < checker.expiresAt && checker.isStillHeld() {
		c.report(RuleOneLeaseHolder,
			fmt.Sprintf("node %d holds the lease while node %d has it", n.index, checker.holder.index))
	}
	if lease.token <= checker.highestToken {
		c.report(RuleOneLeaseHolder,
			fmt.Sprintf("node %d has token %d after %d", n.index, lease.token, checker.highestToken))
	}
	checker.holder, checker.generation, checker.token, checker.expiresAt = n, n.generation, lease.token, expiresAt
	checker.highestToken = max(checker.highestToken, lease.token)
	checker.count++
}

// isStillHeld reports whether the last holder still runs and regards the lease as held.
func (l *leaseChecker) isStillHeld() bool {
	n := l.holder
	if n.replica == nil || n.generation != l.generation {
		return false
	}
	if n.cluster.options.Defect == IgnoreLeaseExpiry {
		return true
	}
	lease, ok := n.replica.Lease(n.clock())
	return ok && lease.Token == l.token
}
