package replica

import (
	"slices"

	"pumiceline/internal/message"
)

// reportKind is what a monitor reports of a member.
type reportKind int

const (
	reportSuspected reportKind = iota
	reportLeaving
	reportLate
)

// reportKey identifies one statement of a message.SuspicionReport: what a reporter says of a member.
type reportKey struct {
	kind     reportKind
	member   message.MemberID
	reporter message.MemberID
}

func (r *Replica) onSuspicionReport(m *message.Message) {
	if m.View == r.control.View.Number && r.isInChain(m.From) {
		r.recordSuspicions(m.SuspicionReport, m.From)
	}
}

func (r *Replica) recordSuspicions(report *message.SuspicionReport, reporter message.MemberID) {
	record := func(kind reportKind, members []message.MemberID) {
		for _, member := range members {
			r.detector.reports[reportKey{kind, member, reporter}] = r.now
		}
	}
	record(reportSuspected, report.Suspected)
	record(reportLeaving, report.Leaving)
	record(reportLate, report.Late)
	for _, member := range report.Leaving {
		r.detector.record(member).recordLeaving(r.now)
	}
}

// reportSuspicions sends the other members a report on those that this one monitors, where any is suspected, leaving or
// late.
func (r *Replica) reportSuspicions() {
	report := r.suspicions()
	if len(report.Suspected)+len(report.Leaving)+len(report.Late) == 0 {
		return
	}
	r.recordSuspicions(report, r.control.Identity)
	for _, member := range r.control.View.Members {
		if !r.isSelf(member) && !slices.Contains(report.Suspected, member.Identity) {
			r.send(member, message.Message{SuspicionReport: report})
		}
	}
}

// suspicions returns the report on the members that this one monitors.
func (r *Replica) suspicions() *message.SuspicionReport {
	report := &message.SuspicionReport{}
	for _, member := range r.detector.monitored {
		record := r.detector.lookup(member.Identity)
		timeSinceHeard := r.now - record.lastHeard.at
		switch {
		case record.health.unhealthy || timeSinceHeard > suspicionTimeout:
			report.Suspected = append(report.Suspected, member.Identity)
		case record.health.leaving:
			report.Leaving = append(report.Leaving, member.Identity)
		case timeSinceHeard > lateTimeout:
			report.Late = append(report.Late, member.Identity)
		}
	}
	return report
}

// suspectedMembers returns the members of the chain that are suspected, from the tail to the head: by a current report,
// because this member has not heard them, or because another process has their address. Reports of members that are
// suspected themselves do not count, so where two suspect one another the one nearer to the head stays.
func (r *Replica) suspectedMembers() []message.MemberID {
	var suspected []message.MemberID
	for _, member := range slices.Backward(r.control.View.Members) {
		isReported := r.isReported(reportSuspected, member.Identity, suspected)
		if isReported || r.isAddressTaken(member) || !r.hasHeardFrom(member) {
			suspected = append(suspected, member.Identity)
		}
	}
	return suspected
}

// isReported reports whether some reporter that is not excluded has a current report of a member.
func (r *Replica) isReported(kind reportKind, member message.MemberID, excluded []message.MemberID) bool {
	for report, at := range r.detector.reports {
		isMatch := report.kind == kind && report.member == member
		if isMatch && r.now-at <= reportTimeout && !slices.Contains(excluded, report.reporter) {
			return true
		}
	}
	return false
}

// hasHeardFrom reports whether this member itself has heard another one within unmonitoredSuspicionTimeout, if need be
// without being its monitor: every member asks all voters to confirm its view, so each voter hears all members, and each
// member hears all voters. Two members without a vote need not hear each other; as a rule there is one at most. This finds
// a failed member whose monitors have all failed with it.
func (r *Replica) hasHeardFrom(member message.Member) bool {
	lastHeard := r.detector.lookup(member.Identity).lastHeard
	return r.isSelf(member) || r.now-lastHeard.at <= unmonitoredSuspicionTimeout
}

// isAddressTaken reports whether another process has the member's address: a later member, or one that has asked to join
// more than once (a single request may be an old one). Only one process can have an address, so the member is gone.
func (r *Replica) isAddressTaken(member message.Member) bool {
	if r.isSelf(member) {
		return false
	}
	for _, other := range r.control.View.Members {
		if other.Address == member.Address && other.SinceView > member.SinceView {
			return true
		}
	}
	for identity, request := range r.detector.joinRequests {
		isOther := identity != member.Identity && request.member.Address == member.Address
		if isOther && r.isCurrent(request) && request.lastAt > request.firstAt {
			return true
		}
	}
	return false
}
