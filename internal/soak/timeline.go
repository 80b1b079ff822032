package soak

import (
	"slices"
	"time"
)

// timeline answers questions about the faults of a run.
type timeline struct {
	bounds       Bounds
	byNode       map[string][]Fault // in the order of their times
	slowed       map[string][]DelaySample
	stoodStill   time.Duration // stall of the runner: sum of the excess of its samples over sampleInterval
	coordinators []string
}

func newTimeline(h *History) *timeline {
	t := &timeline{bounds: h.Bounds, byNode: map[string][]Fault{}, slowed: map[string][]DelaySample{}}
	for _, fault := range h.Faults {
		t.byNode[fault.Node] = append(t.byNode[fault.Node], fault)
	}
	for _, sample := range h.Delays {
		if sample.Node == runnerNode {
			t.stoodStill += max(0, sample.To-sample.From-sampleInterval)
		}
		if sample.Waited > h.Bounds.MaxRunDelay {
			t.slowed[sample.Node] = append(t.slowed[sample.Node], sample)
		}
	}
	for node, role := range h.Roles {
		if role == RoleCoordinator {
			t.coordinators = append(t.coordinators, node)
		}
	}
	return t
}

// withoutSlowness returns a copy that counts no process as slowed.
func (t *timeline) withoutSlowness() *timeline {
	unslowed := *t
	unslowed.slowed = nil
	return &unslowed
}

// slowExtra is the extension of bounds for spans in which the machine held up processes: SlowExtra plus the stall of
// the runner.
func (t *timeline) slowExtra() time.Duration { return t.bounds.SlowExtra + t.stoodStill }

// isRunning reports whether a process ran at a moment: started, not terminated or ended since, not frozen, and with room
// on its disk, without which a coordinator cannot take part.
func (t *timeline) isRunning(node string, at Moment) bool {
	isStarted, isFrozen, isDiskFull := false, false, false
	for _, fault := range t.byNode[node] {
		if fault.At > at {
			break
		}
		switch fault.Kind {
		case FaultStart:
			isStarted, isFrozen, isDiskFull = true, false, false
		case FaultTerminate, FaultKill, FaultGraceKill, FaultEnd:
			isStarted = false
		case FaultFreeze:
			isFrozen = true
		case FaultThaw:
			isFrozen = false
		case FaultDiskFull:
			isDiskFull = true
		case FaultDiskFree:
			isDiskFull = false
		}
	}
	return isStarted && !isFrozen && !isDiskFull
}

// has reports whether a process had a fault of one of the kinds in a span.
func (t *timeline) has(node string, from, to Moment, kinds ...FaultKind) bool {
	_, ok := t.first(node, from, to, kinds...)
	return ok
}

// first returns the first fault of one of the kinds that a process had in a span.
func (t *timeline) first(node string, from, to Moment, kinds ...FaultKind) (Fault, bool) {
	for _, fault := range t.byNode[node] {
		for _, kind := range kinds {
			if fault.Kind == kind && fault.At >= from && fault.At <= to {
				return fault, true
			}
		}
	}
	return Fault{}, false
}

// disturbingKinds are the kinds of faults after which a process is not in touch. SIGHUP is not one of them.
var disturbingKinds = []FaultKind{
	FaultStart, FaultTerminate, FaultKill, FaultGraceKill, FaultFreeze, FaultThaw, FaultDiskFull, FaultDiskFree, FaultEnd,
}

// isUndisturbed reports whether a process ran without a disturbing fault and was not slowed, from the time Quiet before
// a span until the end of the span.
func (t *timeline) isUndisturbed(node string, from, to Moment) bool {
	return t.isRunning(node, from) && !t.has(node, from-t.bounds.Quiet, to, disturbingKinds...) &&
		!t.isSlowed(node, from-t.bounds.Quiet, to)
}

// isSlowed reports whether the machine held up a process in a span, or the runner, which runs the clients and backends.
func (t *timeline) isSlowed(node string, from, to Moment) bool {
	for _, name := range []string{node, runnerNode} {
		for _, sample := range t.slowed[name] {
			if sample.To >= from && sample.From <= to {
				return true
			}
		}
	}
	return false
}

// isFrozenWithin reports whether a process was frozen at some moment of a span.
func (t *timeline) isFrozenWithin(node string, from, to Moment) bool {
	isFrozen := false
	for _, fault := range t.byNode[node] {
		if fault.At > to {
			break
		}
		switch fault.Kind {
		case FaultFreeze:
			isFrozen = true
		case FaultThaw, FaultStart, FaultEnd:
			if isFrozen && fault.At >= from {
				return true
			}
			isFrozen = false
		}
	}
	return isFrozen
}

// isCoreStable reports whether no coordinator had a disturbing fault or was slowed, from the time Quiet before a span
// until the end of the span, and more than half of them ran.
func (t *timeline) isCoreStable(from, to Moment) bool {
	for _, node := range t.coordinators {
		if t.has(node, from-t.bounds.Quiet, to, disturbingKinds...) || t.isSlowed(node, from-t.bounds.Quiet, to) {
			return false
		}
	}
	return t.hasMajority(from)
}

// hasMajority reports whether more than half of the coordinators ran at a moment.
func (t *timeline) hasMajority(at Moment) bool {
	running := 0
	for _, node := range t.coordinators {
		if t.isRunning(node, at) {
			running++
		}
	}
	return 2*running > len(t.coordinators)
}

// hadMajority reports whether more than half of the coordinators ran throughout a span, and none was slowed.
func (t *timeline) hadMajority(from, to Moment) bool {
	if t.isCoreSlowed(from, to) {
		return false
	}
	if !t.hasMajority(from) {
		return false
	}
	for _, node := range t.coordinators {
		for _, fault := range t.byNode[node] {
			if fault.At >= from && fault.At <= to && !t.hasMajority(fault.At) {
				return false
			}
		}
	}
	return true
}

// isCoreSlowed reports whether the machine held up a coordinator in a span.
func (t *timeline) isCoreSlowed(from, to Moment) bool {
	return slices.ContainsFunc(t.coordinators, func(node string) bool { return t.isSlowed(node, from, to) })
}

// startOf returns the time of the start of the process that a fault is about; -1: not known.
func (t *timeline) startOf(fault Fault) Moment {
	if fault.Lived > 0 {
		return fault.At - fault.Lived
	}
	started := Moment(-1)
	for _, other := range t.byNode[fault.Node] {
		if other.Kind == FaultStart && other.Instance == fault.Instance && other.At <= fault.At {
			started = other.At
		}
	}
	return started
}

// firstOfProcess returns the first fault of one of the kinds that the process of a fault had up to that fault. from is
// the start of the process, by which processes of one node are told apart where histories do not number them.
func (t *timeline) firstOfProcess(of Fault, from Moment, kinds ...FaultKind) (Fault, bool) {
	for _, fault := range t.byNode[of.Node] {
		isOfProcess := fault.Instance == of.Instance && fault.At <= of.At && (of.Instance > 0 || fault.At >= from)
		if isOfProcess && slices.Contains(kinds, fault.Kind) {
			return fault, true
		}
	}
	return Fault{}, false
}

// startBefore returns the time of a node's last start up to a moment; -1: none. It identifies the incarnation of the
// process.
func (t *timeline) startBefore(node string, at Moment) Moment {
	started := Moment(-1)
	for _, fault := range t.byNode[node] {
		if fault.Kind == FaultStart && fault.At <= at {
			started = fault.At
		}
	}
	return started
}
