package replica

import (
	"slices"
	"sort"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// requestToJoin asks everyone known for membership, and so learns of the newest view too. A member that was told to stop
// takes back what it has asked for.
func (r *Replica) requestToJoin() {
	if r.leaving {
		r.sendJoinRequest(&message.JoinRequest{Withdrawn: true})
		return
	}
	r.lastJoinRequest = r.now
	r.sendJoinRequest(&message.JoinRequest{DiskStalled: r.diskStalled, Diskless: r.options.Diskless})
}

// sendJoinRequest sends a request to join to all whose address is known.
func (r *Replica) sendJoinRequest(join *message.JoinRequest) {
	addresses := slices.Clone(r.options.Seeds)
	for _, member := range membersAndVoters(r.control.View) {
		addresses = append(addresses, member.Address)
	}
	for _, address := range lo.Uniq(addresses) {
		if address != r.options.Self.Address {
			r.send(message.Member{Address: address}, message.Message{JoinRequest: join})
		}
	}
}

func (r *Replica) onJoinRequest(m *message.Message) {
	if m.View < r.control.View.Number { // also from one that is no member: the sender may know of no other
		r.send(r.sender(m), message.Message{ViewAnnouncement: &message.ViewAnnouncement{View: r.control.View}})
	}
	if m.JoinRequest.Withdrawn {
		delete(r.detector.joinRequests, m.From)
		return
	}
	if !m.JoinRequest.Observer {
		r.recordFirstRequest(m.From)
	}
	if !r.canAdmit(m) {
		return
	}
	r.detector.recordRejoin(m.From, r.now)
	known, ok := r.detector.joinRequests[m.From]
	if !ok || !r.isCurrent(known) {
		known.firstRequestAt = r.now
	}
	known.member, known.view, known.lastRequestAt = r.sender(m), m.View, r.now
	known.member.Diskless = m.JoinRequest.Diskless
	r.detector.joinRequests[m.From] = known
}

// canAdmit reports whether the sender of a request could become a member of the view.
func (r *Replica) canAdmit(m *message.Message) bool {
	if m.JoinRequest.Observer || m.JoinRequest.DiskStalled || m.JoinRequest.Diskless && !r.isDisklessSystem() {
		return false
	}
	return r.IsMember() && chainPosition(r.control.View, m.From) < 0
}

// recordFirstRequest keeps when a machine came that was no member before.
func (r *Replica) recordFirstRequest(identity message.MemberID) {
	view := r.control.View
	_, known := r.detector.arrived[identity]
	if !known && !r.detector.veterans[identity] && !containsMember(append(membersAndVoters(view), replacedMembers(view)...), identity) {
		r.detector.arrived[identity] = r.now
	}
}

func (r *Replica) isCurrent(j joinRequest) bool { return r.now-j.lastRequestAt <= joinRequestTimeout }

// admissionFallbackTimeout is how long the others leave it to the first proposer to admit a joiner: one that it does not hear would
// be taken out again at once.
const admissionFallbackTimeout = 5 * time.Second

// joiningMembers are those that asked a moment ago and know the present view: they hear the members too. One that comes
// with the address of a member that is still heard is not taken in beside it, as only one process can have the address.
func (r *Replica) joiningMembers(suspects []message.MemberID) []message.Member {
	var out []message.Member
	isFirst := r.isFirstProposer()
	for identity, j := range r.detector.joinRequests {
		if !r.isCurrent(j) {
			delete(r.detector.joinRequests, identity)
			continue
		}
		if j.view < r.control.View.Number || !isFirst && r.now-j.firstRequestAt < admissionFallbackTimeout {
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
