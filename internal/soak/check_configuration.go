package soak

import (
	"net/http"
	"slices"
	"time"
)

// acknowledgedAt returns when a change was first acknowledged.
func (c *Change) acknowledgedAt() (Moment, bool) {
	at, ok := Moment(0), false
	for _, attempt := range c.Attempts {
		if attempt.Status == http.StatusOK && (!ok || attempt.EndedAt < at) {
			at, ok = attempt.EndedAt, true
		}
	}
	return at, ok
}

// sentAt returns when a change was first sent.
func (c *Change) sentAt() Moment { return c.Attempts[0].SentAt }

// endedAt returns when the latest attempt at a change ended.
func (c *Change) endedAt() Moment { return c.Attempts[len(c.Attempts)-1].EndedAt }

// clearRejections are the statuses by which a change is definitely rejected, so that operators do not repeat it.
var clearRejections = []int{
	http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge,
	http.StatusUnprocessableEntity,
}

func isClearRejection(status int) bool { return slices.Contains(clearRejections, status) }

// isRejected reports whether a change was clearly rejected and never acknowledged.
func (c *Change) isRejected() bool {
	if _, ok := c.acknowledgedAt(); ok {
		return false
	}
	return slices.ContainsFunc(c.Attempts, func(a Attempt) bool { return isClearRejection(a.Status) })
}

// newestAcknowledged returns the change with the highest version among those acknowledged before a moment, or nil.
func newestAcknowledged(h *History, before Moment) *Change {
	var newest *Change
	for i := range h.Changes {
		change := &h.Changes[i]
		if at, ok := change.acknowledgedAt(); ok && at < before && (newest == nil || change.Version > newest.Version) {
			newest = change
		}
	}
	return newest
}

// changeOf returns the change with a marker, or nil.
func changeOf(h *History, marker string) *Change {
	index := slices.IndexFunc(h.Changes, func(c Change) bool { return c.Marker == marker })
	if index < 0 {
		return nil
	}
	return &h.Changes[index]
}

// checkSettled checks three things. At most one change on top of the same version is acknowledged. No invalid change is
// acknowledged. An acknowledged change that is sent again, with no other change in between, is not rejected.
func checkSettled(h *History, _ *timeline) violations {
	var found violations
	acknowledged := map[uint64]string{} // marker by base
	for i := range h.Changes {
		change := &h.Changes[i]
		at, ok := change.acknowledgedAt()
		if !ok {
			continue
		}
		if other, taken := acknowledged[change.Base]; taken {
			found.add(RuleConfig, at, "%s and %s were both acknowledged on top of version %d", other, change.Marker, change.Base)
		}
		acknowledged[change.Base] = change.Marker
		if change.IsInvalid {
			found.add(RuleConfig, at, "%s is invalid (%s) and was acknowledged", change.Marker, change.Fault)
		}
		for _, attempt := range change.Attempts {
			if attempt.SentAt > at && isClearRejection(attempt.Status) && !hasOtherChange(h, change, at, attempt.EndedAt) {
				found.add(RuleConfig, attempt.EndedAt, "%s was acknowledged, sent again to %s and rejected with %d",
					change.Marker, attempt.Node, attempt.Status)
			}
		}
	}
	return found
}

// hasOtherChange reports whether another change may have taken effect in a span. An invalid one never may.
func hasOtherChange(h *History, change *Change, from, to Moment) bool {
	return slices.ContainsFunc(h.Changes, func(other Change) bool {
		if other.IsInvalid || other.Marker == change.Marker || other.sentAt() > to {
			return false
		}
		return other.endedAt() >= from || !isSettled(&other)
	})
}

// isSettled reports whether the operators got a clear answer to a change.
func isSettled(c *Change) bool {
	_, ok := c.acknowledgedAt()
	return ok || c.isRejected()
}

// checkReads checks that no read shows a version older than one acknowledged before the read was sent, that no read
// shows a rejected change, and that the configuration could be read at the end.
func checkReads(h *History, _ *timeline) violations {
	var found violations
	hasFinal := false
	for _, read := range h.Reads {
		hasFinal = hasFinal || read.IsFinal
		newest := newestAcknowledged(h, read.SentAt)
		if newest != nil && read.Version < newest.Version {
			found.add(RuleConfig, read.EndedAt, "%s shows version %d, and version %d was acknowledged before", read.Node,
				read.Version, newest.Version)
		}
		if newest != nil && read.Version == newest.Version && read.Marker != newest.Marker {
			found.add(RuleConfig, read.EndedAt, "%s shows %s under version %d, which was acknowledged for %s", read.Node,
				read.Marker, read.Version, newest.Marker)
		}
		shown := changeOf(h, read.Marker)
		if shown == nil || shown.isRejected() || shown.Version != read.Version {
			found.add(RuleConfig, read.EndedAt, "%s shows version %d with %q, which was rejected or never sent so", read.Node,
				read.Version, read.Marker)
		}
	}
	if !hasFinal {
		found.add(RuleLost, h.StopFrom, "the configuration could not be read back at the end")
	}
	return found
}

// checkRejectedChanges checks that no proxy serves the route of a change that was rejected.
func checkRejectedChanges(h *History, _ *timeline) violations {
	var found violations
	for _, probe := range h.Probes {
		change := changeOf(h, probe.Marker)
		if probe.IsServed && change != nil && change.isRejected() {
			found.add(RuleConfig, probe.EndedAt, "%s serves %s, which was rejected", probe.Node, probe.Marker)
		}
	}
	return found
}

// checkAcknowledgements checks that a valid change gets a clear answer within the bound while the core is stable. The
// first pass skips spans in which the machine held up coordinators. The second pass includes them, with a longer bound.
func checkAcknowledgements(h *History, t *timeline) violations {
	found := checkAcknowledgedWithin(h, t, t.bounds.Acknowledge)
	if len(found) > 0 {
		return found
	}
	return checkAcknowledgedWithin(h, t.withoutSlowness(), t.bounds.Acknowledge+t.slowExtra())
}

// checkAcknowledgedWithin is one pass of checkAcknowledgements with a bound.
func checkAcknowledgedWithin(h *History, t *timeline, bound time.Duration) violations {
	var found violations
	for i := range h.Changes {
		change := &h.Changes[i]
		sent := change.sentAt()
		due := sent + bound
		if change.IsInvalid || due > h.StopFrom || !t.isCoreStable(sent, due) {
			continue
		}
		isInTime := slices.ContainsFunc(change.Attempts, func(a Attempt) bool {
			return a.EndedAt <= due && (a.Status == http.StatusOK || isClearRejection(a.Status))
		})
		if !isInTime {
			found.add(RuleAcknowledge, due, "%s, sent at %.3fs, got no clear answer within %v", change.Marker, sent.Seconds(),
				bound)
		}
	}
	return found
}
