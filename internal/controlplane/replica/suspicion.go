package replica

import (
	"slices"

	"pumiceline/internal/message"
)

func (r *Replica) onSuspicionReport(m *message.Message) {
	if m.View != r.control.View.Number || chainPosition(r.control.View, m.From) < 0 {
		return
	}
	r.recordSuspicions(m.SuspicionReport, m.From)
}

func (r *Replica) recordSuspicions(s *message.SuspicionReport, reporter message.MemberID) {
	for _, identity := range s.Suspected {
		r.detector.reports[suspicionReport{suspected, identity, reporter}] = r.now
	}
	for _, identity := range s.Leaving {
		r.detector.reports[suspicionReport{leaving, identity, reporter}] = r.now
		r.detector.recordLeaving(identity, r.now)
	}
	for _, identity := range s.Late {
		r.detector.reports[suspicionReport{late, identity, reporter}] = r.now
	}
}

// reportSuspicions tells the other members who of those that this one monitors is silent, leaves or is in doubt.
func (r *Replica) reportSuspicions() {
	found := &message.SuspicionReport{}
	for _, member := range r.detector.monitored {
		silence := r.now - r.detector.heard[member.Identity]
		said := r.detector.condition[member.Identity]
		switch {
		case said.unhealthy || silence > suspicionTimeout:
			found.Suspected = append(found.Suspected, member.Identity)
		case said.leaving:
			found.Leaving = append(found.Leaving, member.Identity)
		case silence > lateTimeout:
			found.Late = append(found.Late, member.Identity)
		}
	}
	if len(found.Suspected)+len(found.Leaving)+len(found.Late) == 0 {
		return
	}
	r.recordSuspicions(found, r.control.Identity)
	for _, member := range r.control.View.Members {
		if member.Identity != r.control.Identity && !slices.Contains(found.Suspected, member.Identity) {
			r.send(member, message.Message{SuspicionReport: found})
		}
	}
}

// suspectedMembers returns who is silent, by the reports that are fresh and by what this member hears itself. Where two suspect
// one another, the one nearer to the head stays. A member whose address another process has now is gone.
func (r *Replica) suspectedMembers() []message.MemberID {
	var out []message.MemberID
	members := r.control.View.Members
	for i := len(members) - 1; i >= 0; i-- {
		identity := members[i].Identity
		if r.isReported(suspected, identity, out) || r.isAddressTaken(members[i]) || !r.hasHeardFrom(members[i]) {
			out = append(out, identity)
		}
	}
	return out
}

// isReported reports whether someone who is not excluded has found something of a member.
func (r *Replica) isReported(what suspicion, identity message.MemberID, excluded []message.MemberID) bool {
	for entry, at := range r.detector.reports {
		if entry.suspicion == what && entry.member == identity && r.now-at <= reportTimeout && !slices.Contains(excluded, entry.reporter) {
			return true
		}
	}
	return false
}

// hasHeardFrom reports whether this member itself has heard another one lately. All members ask all voters whether their view
// is the newest, so each hears each, also where the monitors of a silent member are lost with it.
func (r *Replica) hasHeardFrom(member message.Member) bool {
	return member.Identity == r.control.Identity || r.now-r.detector.heard[member.Identity] <= unmonitoredSuspicionTimeout
}

// isAddressTaken reports whether another process has the member's address: a later member, or one that asks to join more
// than once.
func (r *Replica) isAddressTaken(member message.Member) bool {
	if member.Identity == r.control.Identity {
		return false
	}
	for _, other := range r.control.View.Members {
		if other.Address == member.Address && other.SinceView > member.SinceView {
			return true
		}
	}
	for identity, j := range r.detector.joinRequests {
		if identity != member.Identity && j.member.Address == member.Address && r.isCurrent(j) && j.lastRequestAt > j.firstRequestAt {
			return true
		}
	}
	return false
}
