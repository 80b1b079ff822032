package replica

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// observerInterval is how often a coordinator that only wants to know the view asks, and the head tells those outside it.
const observerInterval = 1 * time.Second

// tickMembership sends what is due to the other members, or asks to become one.
func (r *Replica) tickMembership() {
	interval := heartbeatInterval
	if r.options.Diskless && !r.IsMember() && !r.isDisklessSystem() {
		interval = observerInterval
	}
	if r.detector.hasSentHeartbeat && r.now-r.detector.lastHeartbeat < interval {
		return
	}
	r.detector.lastHeartbeat, r.detector.hasSentHeartbeat = r.now, true
	r.detector.expire(r.now)
	if !r.IsMember() {
		r.requestToJoin()
		return
	}
	r.sendHeartbeats()
	r.reportSuspicions()
	r.announceToOutsiders()
	if r.isIsolated() {
		r.sendJoinRequest(&message.JoinRequest{Observer: true}) // its view may be an old one
	}
}

// announceToOutsiders lets the head, or whoever comes first after it when it is silent, tell the view to those that are outside
// it: voters and displaced members that may have been cut off when it was decided and know nobody else any more, and the
// seeds, as whoever comes back with nothing but the seeds' addresses asks them.
func (r *Replica) announceToOutsiders() {
	if !r.isFirstProposer() || r.now-r.detector.viewAnnouncedAt < observerInterval {
		return
	}
	r.detector.viewAnnouncedAt = r.now
	view := r.control.View
	absent := append(membersAndVoters(view), replacedMembers(view)...)
	for _, seed := range r.options.Seeds {
		absent = append(absent, message.Member{Address: seed})
	}
	inChain := lo.Map(view.Members, func(m message.Member, _ int) string { return m.Address })
	for _, member := range lo.UniqBy(absent, func(m message.Member) string { return m.Address }) {
		if !slices.Contains(inChain, member.Address) {
			r.send(message.Member{Address: member.Address}, message.Message{ViewAnnouncement: &message.ViewAnnouncement{View: view}})
		}
	}
}

func (r *Replica) sendHeartbeats() {
	beat := &message.Heartbeat{
		Complete: r.control.Complete, DiskStalled: r.diskStalled, Leaving: r.leaving, Diskless: r.options.Diskless,
		Isolated: r.isIsolated(),
	}
	for _, monitor := range r.detector.monitors {
		r.send(monitor, message.Message{Heartbeat: beat})
	}
}

// isIsolated reports whether no majority of the voters was heard lately. Others may still hear this member.
func (r *Replica) isIsolated() bool {
	if r.now-r.lease.viewEntered < suspicionTimeout {
		return false
	}
	near := lo.CountBy(r.control.View.EffectiveVoters(), func(m message.Member) bool {
		heard, known := r.detector.heard[m.Identity]
		return m.Identity == r.control.Identity || known && r.now-heard <= suspicionTimeout
	})
	return near < r.quorumSize()
}

func (r *Replica) onHeartbeat(m *message.Message) {
	beat := m.Heartbeat
	if beat.Complete {
		r.detector.complete[m.From] = m.View
	}
	r.detector.disk[m.From] = !beat.Diskless
	r.detector.zone[m.From] = m.FromZone
	r.detector.condition[m.From] = health{unhealthy: beat.DiskStalled || beat.Isolated, leaving: beat.Leaving}
	if at, said := r.detector.departing[m.From]; said && !beat.Leaving && r.now-at > newcomerTimeout { // else it is a late one
		delete(r.detector.departing, m.From)
	}
}
