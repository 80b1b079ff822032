package replica

import (
	"slices"
	"sort"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// askToJoin asks everyone known for membership, and so learns of the newest view too. A member that was told to stop
// takes back what it has asked for.
func (r *Replica) askToJoin() {
	if r.leaving {
		r.ask(&message.JoinRequest{Withdrawn: true})
		return
	}
	r.lastJoin = r.now
	r.ask(&message.JoinRequest{DiskStalled: r.stalled, Diskless: r.options.Volatile})
}

// ask sends a request to join to all whose address is known.
func (r *Replica) ask(join *message.JoinRequest) {
	addresses := slices.Clone(r.options.Seeds)
	for _, member := range everyone(r.control.View) {
		addresses = append(addresses, member.Address)
	}
	for _, address := range lo.Uniq(addresses) {
		if address != r.options.Self.Address {
			r.send(message.Member{Address: address}, message.Message{JoinRequest: join})
		}
	}
}

func (r *Replica) onJoin(m *message.Message) {
	if m.View < r.control.View.Number { // also from one that is no member: the sender may know of no other
		r.send(r.sender(m), message.Message{ViewAnnouncement: &message.ViewAnnouncement{View: r.control.View}})
	}
	if m.JoinRequest.Withdrawn {
		delete(r.detector.joiners, m.From)
		return
	}
	if !m.JoinRequest.Observer {
		r.noteArrival(m.From)
	}
	if !r.mayAdmit(m) {
		return
	}
	r.detector.noteReturn(m.From, r.now)
	known, ok := r.detector.joiners[m.From]
	if !ok || !r.isFresh(known) {
		known.first = r.now
	}
	known.member, known.view, known.at = r.sender(m), m.View, r.now
	known.member.Diskless = m.JoinRequest.Diskless
	r.detector.joiners[m.From] = known
}

// mayAdmit reports whether the sender of a request could become a member of the view.
func (r *Replica) mayAdmit(m *message.Message) bool {
	if m.JoinRequest.Observer || m.JoinRequest.DiskStalled || m.JoinRequest.Diskless && !r.isDiskless() {
		return false
	}
	return r.IsMember() && positionOf(r.control.View, m.From) < 0
}

// noteArrival keeps when a machine came that was no member before.
func (r *Replica) noteArrival(identity message.MemberID) {
	view := r.control.View
	_, known := r.detector.arrived[identity]
	if !known && !r.detector.veterans[identity] && !includes(append(everyone(view), displacedMembers(view)...), identity) {
		r.detector.arrived[identity] = r.now
	}
}

func (r *Replica) isFresh(j joiner) bool { return r.now-j.at <= joinLifetime }

// firstsPatience is how long the others leave it to the first proposer to admit a joiner: one that it does not hear would
// be taken out again at once.
const firstsPatience = 5 * time.Second

// freshJoiners are those that asked a moment ago and know the present view: they hear the members too. One that comes
// with the address of a member that is still heard is not taken in beside it, as only one process can have the address.
func (r *Replica) freshJoiners(suspects []message.MemberID) []message.Member {
	var out []message.Member
	isFirst := r.isProposer()
	for identity, j := range r.detector.joiners {
		if !r.isFresh(j) {
			delete(r.detector.joiners, identity)
			continue
		}
		if j.view < r.control.View.Number || !isFirst && r.now-j.first < firstsPatience {
			continue
		}
		holder, taken := lo.Find(r.control.View.Members, func(m message.Member) bool { return m.Address == j.member.Address })
		if taken && !slices.Contains(suspects, holder.Identity) {
			continue
		}
		member := j.member
		member.SinceView = r.control.View.Number + 1
		out = append(out, member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Identity < out[j].Identity })
	return out
}
