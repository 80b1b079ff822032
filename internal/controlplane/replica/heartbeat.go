package replica

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// membershipTimers holds the start times of a member's intervals and delays.
type membershipTimers struct {
	lastHeartbeat         instant       // outside the chain: when the last join request was sent
	lastAnnouncement      time.Duration // when the view was last announced outside the chain
	suspectedSince        instant       // start of the period in which some member of the chain has been suspected
	viewChangeWantedSince instant       // start of the period in which this member could propose and a view change was due
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

// tickMembership sends heartbeats and reports if this replica is a member, otherwise join requests.
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
		r.sendJoinRequest(&message.JoinRequest{Observer: true}) // its view may be outdated
	}
}

// sendHeartbeats sends this member's heartbeat to its monitors and, if it has no vote, to the others without one.
func (r *Replica) sendHeartbeats() {
	heartbeat := &message.Heartbeat{
		Complete: r.control.Complete, DiskStalled: r.diskStalled, Leaving: r.leaving, Diskless: r.options.Diskless,
		Isolated: r.isIsolated(),
	}
	for _, recipient := range r.heartbeatRecipients() {
		r.send(recipient, message.Message{Heartbeat: heartbeat})
	}
}

// heartbeatRecipients returns the monitors. A member without a vote also sends heartbeats to the others without one, as
// no confirmation of the view passes between them: see hasRecentMessage.
func (r *Replica) heartbeatRecipients() []message.Member {
	recipients := slices.Clone(r.detector.monitors)
	if r.isVoter() {
		return recipients
	}
	for _, member := range r.control.View.Members {
		if !r.isSelf(member) && !r.hasVote(member.Identity) && !containsMember(recipients, member.Identity) {
			recipients = append(recipients, member)
		}
	}
	return recipients
}

func (r *Replica) onHeartbeat(m *message.Message) {
	r.detector.record(m.From).recordHeartbeat(m.Heartbeat, m.View, m.FromZone, r.now)
}

// isIsolated reports whether fewer voters than a majority have sent this member a message within suspicionTimeout. Its
// own messages may still reach others.
func (r *Replica) isIsolated() bool {
	if r.now-r.viewEnteredAt < suspicionTimeout {
		return false
	}
	recentVoters := lo.CountBy(r.control.View.EffectiveVoters(), func(m message.Member) bool {
		return r.isSelf(m) || r.detector.lookup(m.Identity).timeoutStart.isWithin(suspicionTimeout, r.now)
	})
	return recentVoters < r.quorumSize()
}

// announceOutsideChain announces the view outside the chain if this member is the first proposer. Voters and replaced
// voters may have been partitioned when the view was decided, and all members in their last view may be gone since. New
// machines have only the addresses of the seeds, so the seeds must have the newest view to answer their requests.
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
			r.announceView(message.Member{Address: recipient.Address}) // any process that listens there now
		}
	}
}
