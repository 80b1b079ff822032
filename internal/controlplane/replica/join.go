package replica

import (
	"slices"
	"sort"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// joinRequest is the newest request of a machine that asks to join the chain.
type joinRequest struct {
	member  message.Member
	view    message.ViewNumber // the newest view that the machine knew
	firstAt time.Duration      // when the machine began to ask; its requests have not timed out since
	lastAt  time.Duration      // when the newest request came
}

// requestToJoin asks all members known for membership; their responses also bring the newest view. A member that shuts
// down withdraws its earlier requests instead.
func (r *Replica) requestToJoin() {
	if r.leaving {
		r.sendJoinRequest(&message.JoinRequest{Withdrawn: true})
		return
	}
	r.lastJoinRequest = r.now
	r.sendJoinRequest(&message.JoinRequest{DiskStalled: r.diskStalled, Diskless: r.options.Diskless})
}

// sendJoinRequest sends a request to every address known.
func (r *Replica) sendJoinRequest(request *message.JoinRequest) {
	addresses := slices.Clone(r.options.Seeds)
	for _, member := range membersAndVoters(r.control.View) {
		addresses = append(addresses, member.Address)
	}
	for _, address := range lo.Uniq(addresses) {
		if address != r.options.Self.Address {
			r.send(message.Member{Address: address}, message.Message{JoinRequest: request})
		}
	}
}

func (r *Replica) onJoinRequest(m *message.Message) {
	if m.View < r.control.View.Number { // answered also outside the chain: the sender may know of no other machine
		r.announceView(senderOf(m))
	}
	if m.JoinRequest.Withdrawn {
		delete(r.detector.joinRequests, m.From)
		return
	}
	if !m.JoinRequest.Observer {
		r.recordFirstJoinRequest(m.From)
	}
	if !r.canAdmit(m) {
		return
	}
	r.detector.record(m.From).recordJoinRequest(r.now)
	request, ok := r.detector.joinRequests[m.From]
	if !ok || !r.isCurrent(request) {
		request.firstAt = r.now
	}
	request.member, request.view, request.lastAt = senderOf(m), m.View, r.now
	request.member.Diskless = m.JoinRequest.Diskless
	r.detector.joinRequests[m.From] = request
}

// canAdmit reports whether the sender of a join request could become a member of the chain.
func (r *Replica) canAdmit(m *message.Message) bool {
	request := m.JoinRequest
	if request.Observer || request.DiskStalled || request.Diskless && !r.isDisklessSystem() {
		return false
	}
	return r.IsMember() && !r.isInChain(m.From)
}

// recordFirstJoinRequest records when an identity that had never been a member asked to join for the first time.
func (r *Replica) recordFirstJoinRequest(identity message.MemberID) {
	record, view := r.detector.record(identity), r.control.View
	known := append(membersAndVoters(view), replacedMembers(view)...)
	if !record.firstJoinRequest.known && !record.wasMember && !containsMember(known, identity) {
		record.firstJoinRequest = instantAt(r.now)
	}
}

// isCurrent reports whether a join request still counts.
func (r *Replica) isCurrent(request joinRequest) bool {
	return r.now-request.lastAt <= joinRequestTimeout
}

// joiningMembers returns the machines that ask to join and could be admitted, in the order of their identities. It drops
// the requests that do not count any more.
func (r *Replica) joiningMembers(suspected []message.MemberID) []message.Member {
	var joining []message.Member
	isFirst := r.isFirstProposer()
	for identity, request := range r.detector.joinRequests {
		switch {
		case !r.isCurrent(request):
			delete(r.detector.joinRequests, identity)
		case request.view < r.control.View.Number:
			// It does not know the current view. Perhaps no message reaches it: as a member it would stop every change.
		case !isFirst && r.now-request.firstAt < admissionFallbackTimeout:
			// The first proposer admits it, if it hears it.
		case r.conflictsWithMember(request.member, suspected):
			// Only one process can have an address, so the member with that address is gone. It is admitted once that member
			// is suspected, and leaves the chain.
		default:
			member := request.member
			member.SinceView = r.control.View.Number + 1
			joining = append(joining, member)
		}
	}
	sort.Slice(joining, func(i, j int) bool { return joining[i].Identity < joining[j].Identity })
	return joining
}

// conflictsWithMember reports whether a machine has the address of a member that is not suspected.
func (r *Replica) conflictsWithMember(joining message.Member, suspected []message.MemberID) bool {
	member, ok := lo.Find(r.control.View.Members, func(m message.Member) bool { return m.Address == joining.Address })
	return ok && !slices.Contains(suspected, member.Identity)
}
