package replica

import (
	"slices"

	"pumiceline/internal/message"
)

func (r *Replica) onSuspicion(m *message.Message) {
	if m.View != r.control.View.Number || positionOf(r.control.View, m.From) < 0 {
		return
	}
	r.noteFindings(m.SuspicionReport, m.From)
}

func (r *Replica) noteFindings(s *message.SuspicionReport, reporter message.MemberID) {
	for _, identity := range s.Suspected {
		r.detector.reports[report{isSilent, identity, reporter}] = r.now
	}
	for _, identity := range s.Leaving {
		r.detector.reports[report{isLeaving, identity, reporter}] = r.now
		r.detector.noteDeparture(identity, r.now)
	}
	for _, identity := range s.Late {
		r.detector.reports[report{isDoubted, identity, reporter}] = r.now
	}
}

// reportFindings tells the other members who of those that this one monitors is silent, leaves or is in doubt.
func (r *Replica) reportFindings() {
	found := &message.SuspicionReport{}
	for _, member := range r.detector.monitored {
		silence := r.now - r.detector.heard[member.Identity]
		said := r.detector.condition[member.Identity]
		switch {
		case said.unfit || silence > suspectAfter:
			found.Suspected = append(found.Suspected, member.Identity)
		case said.leaving:
			found.Leaving = append(found.Leaving, member.Identity)
		case silence > doubtAfter:
			found.Late = append(found.Late, member.Identity)
		}
	}
	if len(found.Suspected)+len(found.Leaving)+len(found.Late) == 0 {
		return
	}
	r.noteFindings(found, r.control.Identity)
	for _, member := range r.control.View.Members {
		if member.Identity != r.control.Identity && !slices.Contains(found.Suspected, member.Identity) {
			r.send(member, message.Message{SuspicionReport: found})
		}
	}
}

// suspects returns who is silent, by the reports that are fresh and by what this member hears itself. Where two suspect
// one another, the one nearer to the head stays. A member whose address another process has now is gone.
func (r *Replica) suspects() []message.MemberID {
	var out []message.MemberID
	members := r.control.View.Members
	for i := len(members) - 1; i >= 0; i-- {
		identity := members[i].Identity
		if r.isReported(isSilent, identity, out) || r.isDisplaced(members[i]) || !r.hasHeard(members[i]) {
			out = append(out, identity)
		}
	}
	return out
}

// isReported reports whether someone who is not excluded has found something of a member.
func (r *Replica) isReported(what finding, identity message.MemberID, excluded []message.MemberID) bool {
	for entry, at := range r.detector.reports {
		if entry.finding == what && entry.member == identity && r.now-at <= reportLifetime && !slices.Contains(excluded, entry.reporter) {
			return true
		}
	}
	return false
}

// hasHeard reports whether this member itself has heard another one lately. All members ask all voters whether their view
// is the newest, so each hears each, also where the monitors of a silent member are lost with it.
func (r *Replica) hasHeard(member message.Member) bool {
	return member.Identity == r.control.Identity || r.now-r.detector.heard[member.Identity] <= longSilence
}

// isDisplaced reports whether another process has the member's address: a later member, or one that asks to join more
// than once.
func (r *Replica) isDisplaced(member message.Member) bool {
	if member.Identity == r.control.Identity {
		return false
	}
	for _, other := range r.control.View.Members {
		if other.Address == member.Address && other.SinceView > member.SinceView {
			return true
		}
	}
	for identity, j := range r.detector.joiners {
		if identity != member.Identity && j.member.Address == member.Address && r.isFresh(j) && j.at > j.first {
			return true
		}
	}
	return false
}
