package replica

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// observeInterval is how often a coordinator that only wants to know the view asks, and the head tells those outside it.
const observeInterval = 1 * time.Second

// tickMembership sends what is due to the other members, or asks to become one.
func (r *Replica) tickMembership() {
	interval := heartbeatInterval
	if r.options.Volatile && !r.IsMember() && !r.isDiskless() {
		interval = observeInterval
	}
	if r.detector.beaten && r.now-r.detector.lastBeat < interval {
		return
	}
	r.detector.lastBeat, r.detector.beaten = r.now, true
	r.detector.forget(r.now)
	if !r.IsMember() {
		r.askToJoin()
		return
	}
	r.sendHeartbeats()
	r.reportFindings()
	r.tellAbsent()
	if r.isIsolated() {
		r.ask(&message.JoinRequest{Observer: true}) // its view may be an old one
	}
}

// tellAbsent lets the head, or whoever comes first after it when it is silent, tell the view to those that are outside
// it: voters and displaced members that may have been cut off when it was decided and know nobody else any more, and the
// seeds, as whoever comes back with nothing but the seeds' addresses asks them.
func (r *Replica) tellAbsent() {
	if !r.isProposer() || r.now-r.detector.toldAbsent < observeInterval {
		return
	}
	r.detector.toldAbsent = r.now
	view := r.control.View
	absent := append(everyone(view), displacedMembers(view)...)
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
		Complete: r.control.Complete, DiskStalled: r.stalled, Leaving: r.leaving, Diskless: r.options.Volatile,
		Isolated: r.isIsolated(),
	}
	for _, monitor := range r.detector.monitors {
		r.send(monitor, message.Message{Heartbeat: beat})
	}
}

// isIsolated reports whether no majority of the voters was heard lately. Others may still hear this member.
func (r *Replica) isIsolated() bool {
	if r.now-r.lease.viewEntered < suspectAfter {
		return false
	}
	near := lo.CountBy(r.control.View.EffectiveVoters(), func(m message.Member) bool {
		heard, known := r.detector.heard[m.Identity]
		return m.Identity == r.control.Identity || known && r.now-heard <= suspectAfter
	})
	return near < r.majority()
}

func (r *Replica) onHeartbeat(m *message.Message) {
	beat := m.Heartbeat
	if beat.Complete {
		r.detector.complete[m.From] = m.View
	}
	r.detector.disk[m.From] = !beat.Diskless
	r.detector.zone[m.From] = m.FromZone
	r.detector.condition[m.From] = condition{unfit: beat.DiskStalled || beat.Isolated, leaving: beat.Leaving}
	if at, said := r.detector.departing[m.From]; said && !beat.Leaving && r.now-at > joinPatience { // else it is a late one
		delete(r.detector.departing, m.From)
	}
}
