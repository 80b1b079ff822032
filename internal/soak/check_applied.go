package soak

import (
	"net/http"
	"time"
)

// checkApplied checks that proxies in touch handle requests by the newest acknowledged version after the bound Apply.
// The first pass skips spans in which the machine held up processes. The second pass includes them, with a longer
// bound.
func checkApplied(h *History, t *timeline) violations {
	found := checkAppliedWithin(h, t, t.bounds.Apply)
	if len(found) > 0 {
		return found
	}
	return checkAppliedWithin(h, t.withoutSlowness(), t.bounds.Apply+t.slowExtra())
}

// checkAppliedWithin is one pass of checkApplied with a bound.
func checkAppliedWithin(h *History, t *timeline, bound time.Duration) violations {
	var found violations
	for _, probe := range h.Probes {
		change := changeOf(h, probe.Marker)
		if change == nil || !t.isUndisturbed(probe.Node, probe.SentAt, probe.EndedAt) {
			continue
		}
		if at, ok := change.acknowledgedAt(); ok && probe.Status == http.StatusNotFound &&
			!mayBeReplaced(h, change, probe.EndedAt) && isDue(t, at, probe.SentAt, bound) {
			found.add(RuleConfig, probe.EndedAt, "%s denies %s %v after its acknowledgement", probe.Node, probe.Marker,
				probe.SentAt-at)
		}
		if at, ok := replacedAt(h, change); ok && probe.IsServed && isDue(t, at, probe.SentAt, bound) {
			found.add(RuleConfig, probe.EndedAt, "%s serves %s %v after a later version was acknowledged", probe.Node,
				probe.Marker, probe.SentAt-at)
		}
	}
	return found
}

// isDue reports whether a version must be in force for a request, by the moments at which the version was acknowledged
// and the request was sent. The bound applies while the core is stable; otherwise Stretch is added, and the
// coordinators must have had a majority throughout.
func isDue(t *timeline, acknowledged, sent Moment, bound time.Duration) bool {
	if sent <= acknowledged+bound {
		return false
	}
	if t.isCoreStable(acknowledged, sent) {
		return true
	}
	return sent > acknowledged+bound+t.bounds.Stretch && t.hadMajority(acknowledged, sent)
}

// mayBeReplaced reports whether a change with a higher version may have been in force before a moment.
func mayBeReplaced(h *History, change *Change, before Moment) bool {
	for i := range h.Changes {
		other := &h.Changes[i]
		if other.Version > change.Version && !other.isRejected() && other.sentAt() < before {
			return true
		}
	}
	return false
}

// replacedAt returns when a higher version than that of a change was first acknowledged.
func replacedAt(h *History, change *Change) (Moment, bool) {
	first, ok := Moment(0), false
	for i := range h.Changes {
		other := &h.Changes[i]
		if at, acknowledged := other.acknowledgedAt(); acknowledged && other.Version > change.Version && (!ok || at < first) {
			first, ok = at, true
		}
	}
	return first, ok
}

// checkRegress checks that a process that has shown a version does not show an older one later.
func checkRegress(h *History, t *timeline) violations {
	var found violations
	type incarnation struct {
		node  string
		start Moment
	}
	newest := map[incarnation][]Probe{} // probes that were served
	for _, probe := range h.Probes {
		change := changeOf(h, probe.Marker)
		if change == nil {
			continue
		}
		key := incarnation{probe.Node, t.startBefore(probe.Node, probe.SentAt)}
		for _, earlier := range newest[key] {
			if isRegress(h, t, earlier, probe, change) {
				found.add(RuleConfig, probe.EndedAt, "%s has shown %s and goes back with %s (status %d)", probe.Node,
					earlier.Marker, probe.Marker, probe.Status)
			}
		}
		if probe.IsServed && t.startBefore(probe.Node, probe.EndedAt) == key.start {
			newest[key] = append(newest[key], probe)
		}
	}
	return found
}

// isRegress reports whether a probe shows an older version than an earlier served probe.
func isRegress(h *History, t *timeline, earlier, probe Probe, change *Change) bool {
	slack := t.bounds.Downgrade
	if t.isFrozenWithin(probe.Node, earlier.SentAt, probe.EndedAt) || t.isSlowed(probe.Node, earlier.SentAt, probe.EndedAt) {
		slack *= Moment(t.bounds.SlowThawShare)
	}
	if probe.SentAt <= earlier.EndedAt+slack {
		return false
	}
	shown := changeOf(h, earlier.Marker)
	if probe.IsServed {
		return change.Version < shown.Version
	}
	return probe.Status == http.StatusNotFound && change.Marker == shown.Marker && !mayBeReplaced(h, change, probe.EndedAt)
}
