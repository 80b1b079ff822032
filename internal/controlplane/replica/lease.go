package replica

import (
	"time"

	"pumiceline/internal/message"
)

// tokenViewShift is how many bits a fencing token has below the number of its view. With the view above them, the tokens
// rise from view to view.
const tokenViewShift = 24

// leaseState is the member's part in the lease on the controller role. The voters grant it, each to one member at a
// time and for LeaseDuration; whoever has the grants of a majority holds it.
type leaseState struct {
	duration  time.Duration
	startedAt time.Duration // of this process

	// As a grantor.
	grantedTo      message.MemberID
	grantedAddress string // of grantedTo
	grantExpiresAt time.Duration
	renewalSeenAt  time.Duration // when another member's request for renewal came; 0: never, or the lease was released since

	// As a candidate and holder.
	token                message.FencingToken // of the lease held; 0: none
	expiresAt            time.Duration
	heldSince            time.Duration
	requestID            uint64 // of the newest request
	requestedToken       message.FencingToken
	requestedAt          time.Duration
	hasRequested         bool                      // some request was sent, at requestedAt
	grantedBy            map[message.MemberID]bool // who has granted the newest request
	highestRejectedToken message.FencingToken      // the highest token that rejections reported
}

func newLeaseState(now time.Duration, options Options) leaseState {
	return leaseState{duration: options.LeaseDuration, startedAt: now, requestID: options.Incarnation}
}

// Lease is a lease that this member holds on the controller role.
type Lease struct {
	Token     message.FencingToken
	HeldSince time.Duration // held from then on without a gap, over all renewals
	ExpiresAt time.Duration
}

// Lease returns the lease that this member holds at now; ok is false where it holds none.
func (r *Replica) Lease(now time.Duration) (lease Lease, ok bool) {
	if r.lease.token == 0 || now >= r.lease.expiresAt {
		return Lease{}, false
	}
	return Lease{Token: r.lease.token, HeldSince: r.lease.heldSince, ExpiresAt: r.lease.expiresAt}, true
}

// LeaseHolderAddress returns the internal address of the lease holder; ok is false where this member knows of none.
func (r *Replica) LeaseHolderAddress() (address string, ok bool) {
	if _, held := r.Lease(r.now); held {
		return r.options.Self.Address, true
	}
	l := &r.lease
	return l.grantedAddress, l.grantedTo != "" && r.now < l.grantExpiresAt && l.grantedTo != r.control.Identity
}

// tickLease renews the lease, requests it where it is vacant, or releases it where this member may not hold it.
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

// canHoldLease reports whether this member may be the controller: a healthy and complete member that does not leave, nor
// yields to durable members.
func (r *Replica) canHoldLease() bool {
	mustYield := r.options.Diskless && !r.isDisklessSystem()
	return r.IsMember() && r.control.Complete && !r.leaving && !r.diskStalled && !mustYield
}

// canRequestLease reports whether the lease has been vacant for long enough. The members become candidates one after the
// other from the tail on, so that the head, which orders all changes, is the last.
func (r *Replica) canRequestLease() bool {
	l := &r.lease
	vacantSince := max(l.grantExpiresAt, r.noGrantBefore())
	if l.renewalSeenAt != 0 {
		vacantSince = max(vacantSince, l.renewalSeenAt+l.duration)
	}
	membersBehind := len(r.control.View.Members) - 1 - r.position()
	return r.now >= vacantSince+time.Duration(membersBehind)*candidateDelay
}

// noGrantBefore returns the time before which this member grants no new lease. When it starts, or enters a view, a lease
// that it does not know of may last for up to LeaseDuration.
func (r *Replica) noGrantBefore() time.Duration {
	return max(r.lease.startedAt, r.viewEnteredAt) + r.lease.duration
}

// requestLease asks for the lease held once more, or for a new one with a token above all that this member knows of.
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
	// Members without a vote get it too: a renewal shows them that the lease is not vacant.
	for _, member := range membersAndVoters(r.control.View) {
		r.send(member, message.Message{LeaseRequest: request})
	}
}

// releaseLease gives the lease back, so that a successor need not wait until it expires.
func (r *Replica) releaseLease() {
	if r.lease.token == 0 {
		return
	}
	release := &message.LeaseRelease{Token: r.lease.token}
	r.lease.token = 0
	r.lease.requestID++ // grants in flight must not revive the lease
	for _, member := range membersAndVoters(r.control.View) {
		r.send(member, message.Message{LeaseRelease: release})
	}
}

// onLeaseRequest grants the lease, renews it, or rejects the request.
//
// Nothing is granted or renewed once a next view is accepted. When that view is decided, a majority of this one's voters
// has accepted it, so no lease of this view is granted from then on; and the voters of the next view enter it later than
// that, and grant nothing new for LeaseDuration. A lease counts from before it was requested, so it has expired by then,
// and no two members hold leases of two views at a time.
func (r *Replica) onLeaseRequest(m *message.Message) {
	if m.View != r.control.View.Number {
		return
	}
	l, request := &r.lease, m.LeaseRequest
	if request.Renewal && m.From != r.control.Identity {
		l.renewalSeenAt = r.now // a member that was away, or has no vote, would take the lease for vacant otherwise
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

// canGrant reports whether this voter may grant a request.
func (r *Replica) canGrant(candidate message.MemberID, request *message.LeaseRequest) bool {
	l := &r.lease
	isGranted := r.now < l.grantExpiresAt
	isHolder := isGranted && l.grantedTo == candidate
	// A holder that restarted has lost its lease, but only one process can have its identity: it may get a new one.
	isVacant := isHolder || !isGranted && r.now >= r.noGrantBefore()
	if !request.Renewal {
		return isVacant && request.Token > r.control.LeaseToken
	}
	// A grantor that was away renews a lease that it did not grant, once it has granted nothing for LeaseDuration: the
	// token shows that no majority with it granted a later one. Otherwise a holder would lose its lease though a majority
	// is alive, when enough grantors had been away one after the other.
	return isVacant && request.Token >= r.control.LeaseToken
}

// onLeaseGrant counts the grants of the newest request; a majority of them makes this member the holder. The lease
// counts from the request, so it expires for the holder before it does for any grantor.
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

// onLeaseRelease ends the grant for a lease that its holder gave back.
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
