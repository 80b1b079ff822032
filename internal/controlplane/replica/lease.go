package replica

import (
	"time"

	"pumiceline/internal/message"
)

// tokenViewShift is the number of low bits in a fencing token. The view number is stored above them, so tokens increase
// from view to view.
const tokenViewShift = 24

// leaseState is this member's state in the lease protocol for the controller role. Each voter grants the lease to one
// member at a time, for LeaseDuration. The member with grants from a majority holds the lease.
type leaseState struct {
	duration  time.Duration
	startedAt time.Duration // start time of this process

	// As a grantor.
	grantedTo      message.MemberID
	grantedAddress string // of grantedTo
	grantExpiresAt time.Duration
	renewalSeenAt  time.Duration // when another member's renewal request last arrived; 0: never, or released since

	// As a candidate and holder.
	token                message.FencingToken // token of the lease that this member holds; 0: none
	expiresAt            time.Duration
	heldSince            time.Duration
	requestID            uint64 // ID of the newest request
	requestedToken       message.FencingToken
	requestedAt          time.Duration
	hasRequested         bool                      // a request was sent at requestedAt
	grantedBy            map[message.MemberID]bool // voters that have granted the newest request
	highestRejectedToken message.FencingToken      // the highest token in a rejection
}

func newLeaseState(now time.Duration, options Options) leaseState {
	return leaseState{duration: options.LeaseDuration, startedAt: now, requestID: options.Incarnation}
}

// Lease is a lease that this member holds on the controller role.
type Lease struct {
	Token     message.FencingToken
	HeldSince time.Duration // start of the uninterrupted holding, over all renewals
	ExpiresAt time.Duration
}

// Lease returns the lease that this member holds at now; ok is false if it holds none.
func (r *Replica) Lease(now time.Duration) (lease Lease, ok bool) {
	if r.lease.token == 0 || now >= r.lease.expiresAt {
		return Lease{}, false
	}
	return Lease{Token: r.lease.token, HeldSince: r.lease.heldSince, ExpiresAt: r.lease.expiresAt}, true
}

// LeaseHolderAddress returns the internal address of the lease holder; ok is false if this member knows of no holder.
func (r *Replica) LeaseHolderAddress() (address string, ok bool) {
	if _, held := r.Lease(r.now); held {
		return r.options.Self.Address, true
	}
	l := &r.lease
	return l.grantedAddress, l.grantedTo != "" && r.now < l.grantExpiresAt && l.grantedTo != r.control.Identity
}

// tickLease renews the lease, requests it if it is vacant, or releases it if this member may not hold it.
func (r *Replica) tickLease() {
	l := &r.lease
	if l.token != 0 && r.now >= l.expiresAt {
		l.token = 0
	}
	if !r.canHoldLease() {
		r.releaseLease()
		return
	}
	if !r.link.synced || l.token == 0 && !r.canRequestLease() {
		return
	}
	if l.hasRequested && r.now-l.requestedAt < leaseRenewalInterval {
		return
	}
	r.requestLease()
}

// canHoldLease reports whether this member may be the controller. It must be a complete member, its disk must not be
// stalled, and it must neither be leaving nor yield to durable members.
func (r *Replica) canHoldLease() bool {
	mustYield := r.options.Diskless && !r.isDisklessSystem()
	return r.IsMember() && r.control.Complete && !r.leaving && !r.diskStalled && !mustYield
}

// canRequestLease reports whether the lease has been vacant for long enough. The members become candidates in order
// from the tail to the head, so that the head, which orders all changes, is the last candidate.
func (r *Replica) canRequestLease() bool {
	l := &r.lease
	vacantSince := max(l.grantExpiresAt, r.noGrantBefore())
	if l.renewalSeenAt != 0 {
		vacantSince = max(vacantSince, l.renewalSeenAt+l.duration)
	}
	membersBehind := len(r.control.View.Members) - 1 - r.position()
	return r.now >= vacantSince+time.Duration(membersBehind)*candidateDelay
}

// noGrantBefore returns the time before which this member grants no new lease. When it starts or enters a view, a lease
// unknown to it may still be valid for up to LeaseDuration.
func (r *Replica) noGrantBefore() time.Duration {
	return max(r.lease.startedAt, r.viewEnteredAt) + r.lease.duration
}

// requestLease requests a renewal of the lease held, or a new lease with a token above every token known to this
// member.
func (r *Replica) requestLease() {
	l := &r.lease
	l.hasRequested, l.requestedAt = true, r.now
	l.requestID++
	l.grantedBy = map[message.MemberID]bool{}
	l.requestedToken = l.token
	if l.token == 0 {
		lowest := message.FencingToken(r.control.View.Number << tokenViewShift)
		l.requestedToken = max(lowest, r.control.LeaseToken, l.highestRejectedToken) + 1
	}
	request := &message.LeaseRequest{Token: l.requestedToken, RequestID: l.requestID, Renewal: l.token != 0}
	// Members without a vote receive the request too: a renewal shows them that the lease is not vacant.
	for _, member := range membersAndVoters(r.control.View) {
		r.send(member, message.Message{LeaseRequest: request})
	}
}

// releaseLease releases the lease, so that the next holder need not wait for its expiry.
func (r *Replica) releaseLease() {
	if r.lease.token == 0 {
		return
	}
	release := &message.LeaseRelease{Token: r.lease.token}
	r.lease.token = 0
	r.lease.requestID++ // so that grants in flight are ignored and cannot restore the lease
	for _, member := range membersAndVoters(r.control.View) {
		r.send(member, message.Message{LeaseRelease: release})
	}
}

// onLeaseRequest grants the lease, renews it, or rejects the request.
//
// A voter grants and renews nothing after it has accepted a next view. Once that view is decided, a majority of the
// current voters has accepted it, so no majority can grant a lease of the current view from then on. The voters of the
// next view enter it after the decision, and grant nothing new for LeaseDuration. The holder of a lease of the current
// view counts its duration from the time of its request, so that lease has expired by then. So two members never hold
// leases of two views at the same time.
func (r *Replica) onLeaseRequest(m *message.Message) {
	if m.View != r.control.View.Number {
		return
	}
	l, request := &r.lease, m.LeaseRequest
	if request.Renewal && m.From != r.control.Identity {
		l.renewalSeenAt = r.now // without it, a member that was unreachable or has no vote would consider the lease vacant
	}
	if !r.isVoter() || r.control.AcceptedView.Number != 0 {
		return
	}
	grant := &message.LeaseGrant{RequestID: request.RequestID, Granted: r.canGrant(m.From, request)}
	if grant.Granted {
		l.grantedTo, l.grantedAddress, l.grantExpiresAt = m.From, m.FromAddress, r.now+l.duration
		if request.Token > r.control.LeaseToken {
			r.control.LeaseToken = request.Token
			r.output.controlDirty = true
		}
	}
	grant.Token = r.control.LeaseToken
	r.sendAfterSync(senderOf(m), message.Message{LeaseGrant: grant})
}

// canGrant reports whether this voter may grant a candidate's request.
func (r *Replica) canGrant(candidate message.MemberID, request *message.LeaseRequest) bool {
	l := &r.lease
	isGranted := r.now < l.grantExpiresAt
	isHolder := isGranted && l.grantedTo == candidate
	// A holder that restarted has lost its lease. Only one process can have its identity, so it may get a new lease.
	isVacant := isHolder || !isGranted && r.now >= r.noGrantBefore()
	if !request.Renewal {
		return isVacant && request.Token > r.control.LeaseToken
	}
	// A grantor that was unreachable may renew a lease that it did not grant, if no grant of its own is valid and
	// noGrantBefore has passed. The token shows that no majority with this grantor has granted a later lease. Otherwise a
	// holder would lose its lease although a majority is alive, once enough grantors had been unreachable one after
	// another.
	return isVacant && request.Token >= r.control.LeaseToken
}

// onLeaseGrant counts the grants of the newest request; with a majority this member holds the lease. The lease duration
// is counted from the request, so the lease expires for the holder before it does for any grantor.
func (r *Replica) onLeaseGrant(m *message.Message) {
	l, grant := &r.lease, m.LeaseGrant
	if m.View != r.control.View.Number || grant.RequestID != l.requestID || !r.hasVote(m.From) {
		return
	}
	if !grant.Granted {
		l.highestRejectedToken = max(l.highestRejectedToken, grant.Token)
		return
	}
	l.grantedBy[m.From] = true
	if len(l.grantedBy) < r.quorumSize() {
		return
	}
	if l.token == 0 {
		l.heldSince = r.now
	}
	l.token = l.requestedToken
	l.expiresAt = l.requestedAt + l.duration - leaseSafetyMargin
}

// onLeaseRelease ends the grant of a lease that its holder released.
func (r *Replica) onLeaseRelease(m *message.Message) {
	l := &r.lease
	if !r.isVoter() {
		l.renewalSeenAt = 0
		return
	}
	if l.grantedTo == m.From && m.LeaseRelease.Token == r.control.LeaseToken {
		l.grantExpiresAt, l.renewalSeenAt = r.now, 0
	}
}
