package replica

import (
	"slices"

	"pumiceline/internal/message"
)

// reportKind is the kind of a monitor's report on a member.
type reportKind int

const (
	reportSuspected reportKind = iota
	reportLeaving
	reportLate
)

// reportKey identifies one entry of a message.SuspicionReport: its kind, the member concerned and the reporter.
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

// reportSuspicions reports monitored members that are suspected, leaving or late to the other members that are not
// suspected.
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
		elapsed := r.now - record.timeoutStart.at
		switch {
		case record.health.unhealthy || elapsed > suspicionTimeout:
			report.Suspected = append(report.Suspected, member.Identity)
		case record.health.leaving:
			report.Leaving = append(report.Leaving, member.Identity)
		case elapsed > lateTimeout:
			report.Late = append(report.Late, member.Identity)
		}
	}
	return report
}

// suspectedMembers returns the suspected members of the chain, from the tail to the head. A member is suspected
// because of a current report, because this member received no message from it for too long, or because another
// process has its address. Reports from suspected members are ignored, so if two members suspect each other, the one
// nearer to the head stays.
func (r *Replica) suspectedMembers() []message.MemberID {
	var suspected []message.MemberID
	for _, member := range slices.Backward(r.control.View.Members) {
		isReported := r.isReported(reportSuspected, member.Identity, suspected)
		if isReported || r.isAddressTaken(member) || !r.hasRecentMessage(member) {
			suspected = append(suspected, member.Identity)
		}
	}
	return suspected
}

// isReported reports whether there is a current report of that kind on a member by a reporter that is not excluded.
func (r *Replica) isReported(kind reportKind, member message.MemberID, excluded []message.MemberID) bool {
	for report, at := range r.detector.reports {
		isMatch := report.kind == kind && report.member == member
		if isMatch && r.now-at <= reportTimeout && !slices.Contains(excluded, report.reporter) {
			return true
		}
	}
	return false
}

// hasRecentMessage reports whether this member received a message from another one within unmonitoredSuspicionTimeout,
// counted from the other member's timeoutStart. It is how this member detects a failed member whose monitors have all
// failed too. It also works between members that do not monitor each other: every member asks all voters to confirm
// its view, so each voter receives messages from all members, and each member receives responses from all voters. Two
// members without a vote send each other heartbeats (heartbeatRecipients).
func (r *Replica) hasRecentMessage(member message.Member) bool {
	timeoutStart := r.detector.lookup(member.Identity).timeoutStart
	return r.isSelf(member) || r.now-timeoutStart.at <= unmonitoredSuspicionTimeout
}

// isAddressTaken reports whether another process has the member's address: a member since a later view, or a machine
// that has asked to join more than once (a single request may be delayed from before). Only one process can have an
// address, so the member is gone.
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
