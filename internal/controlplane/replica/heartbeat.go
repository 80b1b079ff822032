package replica

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// membershipTimers are the times from which a member measures its intervals and delays.
type membershipTimers struct {
	lastHeartbeat         instant       // outside the chain: the last join request
	lastAnnouncement      time.Duration // of the view, to those outside the chain
	suspectedSince        instant       // since when some member of the chain has been suspected without a gap
	viewChangeWantedSince instant       // since when this member could propose and a view change was due, without a gap
}

// recordSuspicion records whether some member of the chain is suspected now.
func (t *membershipTimers) recordSuspicion(isSuspected bool, now time.Duration) {
	switch {
	case !isSuspected:
		t.suspectedSince = instant{}
	case !t.suspectedSince.known:
		t.suspectedSince = instantAt(now)
	}
}

// tickMembership sends heartbeats and reports as a member, and join requests outside the chain.
func (r *Replica) tickMembership() {
	interval := heartbeatInterval
	if r.options.Diskless && !r.IsMember() && !r.isDisklessSystem() {
		interval = observerInterval // it cannot join, as some members have disks
	}
	if r.timers.lastHeartbeat.known && r.now-r.timers.lastHeartbeat.at < interval {
		return
	}
	r.timers.lastHeartbeat = instantAt(r.now)
	r.detector.expire(r.now)
	if !r.IsMember() {
		r.requestToJoin()
		return
	}
	r.sendHeartbeats()
	r.reportSuspicions()
	r.announceOutsideChain()
	if r.isIsolated() {
		r.sendJoinRequest(&message.JoinRequest{Observer: true}) // its view may be an old one
	}
}

func (r *Replica) sendHeartbeats() {
	heartbeat := &message.Heartbeat{
		Complete: r.control.Complete, DiskStalled: r.diskStalled, Leaving: r.leaving, Diskless: r.options.Diskless,
		Isolated: r.isIsolated(),
	}
	for _, monitor := range r.detector.monitors {
		r.send(monitor, message.Message{Heartbeat: heartbeat})
	}
}

func (r *Replica) onHeartbeat(m *message.Message) {
	r.detector.record(m.From).recordHeartbeat(m.Heartbeat, m.View, m.FromZone, r.now)
}

// isIsolated reports whether this member has not heard a majority of the voters for too long. Others may still hear it.
func (r *Replica) isIsolated() bool {
	if r.now-r.viewEnteredAt < suspicionTimeout {
		return false
	}
	heard := lo.CountBy(r.control.View.EffectiveVoters(), func(m message.Member) bool {
		return r.isSelf(m) || r.detector.lookup(m.Identity).lastHeard.isWithin(suspicionTimeout, r.now)
	})
	return heard < r.quorumSize()
}

// announceOutsideChain lets the first proposer announce the view to those outside the chain. Voters and replaced voters
// may have been partitioned when it was decided, and all members that they know of may be gone since. Seeds are asked by
// machines that know nothing but the seeds' addresses, so they must know the newest view to answer.
func (r *Replica) announceOutsideChain() {
	if !r.isFirstProposer() || r.now-r.timers.lastAnnouncement < observerInterval {
		return
	}
	r.timers.lastAnnouncement = r.now
	view := r.control.View
	recipients := append(membersAndVoters(view), replacedMembers(view)...)
	for _, seed := range r.options.Seeds {
		recipients = append(recipients, message.Member{Address: seed})
	}
	chainAddresses := lo.Map(view.Members, func(m message.Member, _ int) string { return m.Address })
	for _, recipient := range lo.UniqBy(recipients, func(m message.Member) string { return m.Address }) {
		if !slices.Contains(chainAddresses, recipient.Address) {
			r.announceView(message.Member{Address: recipient.Address}) // whichever process listens there now
		}
	}
}
