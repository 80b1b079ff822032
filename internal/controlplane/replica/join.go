package replica

import (
	"slices"
	"sort"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// joinRequest is the newest request of a machine to join the chain.
type joinRequest struct {
	member  message.Member
	view    message.ViewNumber // the newest view that the machine had received
	firstAt time.Duration      // when its requests began; none has timed out since then
	lastAt  time.Duration      // when the newest request arrived
}

// requestToJoin asks all known members for admission. A recipient with a newer view also sends that view in response. A
// replica that shuts down withdraws its earlier requests instead.
func (r *Replica) requestToJoin() {
	if r.leaving {
		r.sendJoinRequest(&message.JoinRequest{Withdrawn: true})
		return
	}
	r.lastJoinRequest = r.now
	r.sendJoinRequest(&message.JoinRequest{DiskStalled: r.diskStalled, Diskless: r.options.Diskless})
}

// sendJoinRequest sends a request to the addresses of the seeds and of the members and voters.
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
	if m.View < r.control.View.Number { // done outside the chain too: the sender may have no other address
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

// recordFirstJoinRequest records the first join request of an identity that has never been a member.
func (r *Replica) recordFirstJoinRequest(identity message.MemberID) {
	record, view := r.detector.record(identity), r.control.View
	known := append(membersAndVoters(view), replacedMembers(view)...)
	if !record.firstJoinRequest.known && !record.wasMember && !containsMember(known, identity) {
		record.firstJoinRequest = instantAt(r.now)
	}
}

// isCurrent reports whether a join request has not timed out.
func (r *Replica) isCurrent(request joinRequest) bool {
	return r.now-request.lastAt <= joinRequestTimeout
}

// joiningMembers returns the machines that could be admitted by their join requests, in the order of their identities.
// It drops requests that have timed out.
func (r *Replica) joiningMembers(suspected []message.MemberID) []message.Member {
	var joining []message.Member
	isFirst := r.isFirstProposer()
	for identity, request := range r.detector.joinRequests {
		switch {
		case !r.isCurrent(request):
			delete(r.detector.joinRequests, identity)
		case request.view < r.control.View.Number:
			// The machine has not received the current view, so messages may not reach it. As a member it would block every
			// change.
		case !isFirst && r.now-request.firstAt < admissionFallbackTimeout:
			// Admission is left to the first proposer, which admits the machine if it receives its requests.
		case r.conflictsWithMember(request.member, suspected):
			// Only one process can have an address, so the member with that address is gone. The machine is admitted once that
			// member is suspected and leaves the chain.
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
