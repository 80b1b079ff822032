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
	stood        time.Duration // for which the run itself stood still: between samples, beyond their interval
	coordinators []string
}

func newTimeline(h *History) *timeline {
	t := &timeline{bounds: h.Bounds, byNode: map[string][]Fault{}, slowed: map[string][]DelaySample{}}
	for _, fault := range h.Faults {
		t.byNode[fault.Node] = append(t.byNode[fault.Node], fault)
	}
	for _, sample := range h.Delays {
		if sample.Node == runnerNode {
			t.stood += max(0, sample.To-sample.From-sampleInterval)
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

// withoutSlowness returns the same faults on a machine that held up no process.
func (t *timeline) withoutSlowness() *timeline {
	calm := *t
	calm.slowed = nil
	return &calm
}

// slowExtra is by how much bounds are extended where the machine held up processes.
func (t *timeline) slowExtra() time.Duration { return t.bounds.SlowExtra + t.stood }

// isRunning says whether a process ran at a moment: started, not told to stop, not frozen and not ended.
func (t *timeline) isRunning(node string, at Moment) bool {
	isStarted, isFrozen := false, false
	for _, fault := range t.byNode[node] {
		if fault.At > at {
			break
		}
		switch fault.Kind {
		case FaultStart:
			isStarted, isFrozen = true, false
		case FaultTerminate, FaultKill, FaultGraceKill, FaultEnd:
			isStarted = false
		case FaultFreeze:
			isFrozen = true
		case FaultThaw:
			isFrozen = false
		}
	}
	return isStarted && !isFrozen
}

// has says whether a fault of one of the kinds befell a process in a span.
func (t *timeline) has(node string, from, to Moment, kinds ...FaultKind) bool {
	_, ok := t.first(node, from, to, kinds...)
	return ok
}

// first returns the first fault of one of the kinds that befell a process in a span.
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

// disturbing are the kinds of faults after which a process is not in touch. SIGHUP is none.
var disturbing = []FaultKind{
	FaultStart, FaultTerminate, FaultKill, FaultGraceKill, FaultFreeze, FaultThaw, FaultEnd,
}

// isCalm says whether a process ran without a fault and was not slowed from a quiet time before a span until its end.
func (t *timeline) isCalm(node string, from, to Moment) bool {
	return t.isRunning(node, from) && !t.has(node, from-t.bounds.Quiet, to, disturbing...) &&
		!t.isSlowed(node, from-t.bounds.Quiet, to)
}

// isSlowed says whether the machine held up a process, or the runner with its clients and backends, in a span.
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

// isFrozenWithin says whether a process was frozen at some moment of a span.
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

// isCoreStable says whether no fault befell a coordinator and none was slowed from a quiet time before a span until its end,
// and more than half of them ran.
func (t *timeline) isCoreStable(from, to Moment) bool {
	for _, node := range t.coordinators {
		if t.has(node, from-t.bounds.Quiet, to, disturbing...) || t.isSlowed(node, from-t.bounds.Quiet, to) {
			return false
		}
	}
	return t.hasMajority(from)
}

// hasMajority says whether more than half of the coordinators ran at a moment.
func (t *timeline) hasMajority(at Moment) bool {
	running := 0
	for _, node := range t.coordinators {
		if t.isRunning(node, at) {
			running++
		}
	}
	return 2*running > len(t.coordinators)
}

// hadMajority says whether more than half of the coordinators ran throughout a span, and none was slowed.
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

// isCoreSlowed says whether the machine held up some coordinator in a span.
func (t *timeline) isCoreSlowed(from, to Moment) bool {
	return slices.ContainsFunc(t.coordinators, func(node string) bool { return t.isSlowed(node, from, to) })
}

// startBefore returns when the process that ran at a moment was started. It tells the incarnations of a node apart.
func (t *timeline) startBefore(node string, at Moment) Moment {
	started := Moment(-1)
	for _, fault := range t.byNode[node] {
		if fault.Kind == FaultStart && fault.At <= at {
			started = fault.At
		}
	}
	return started
}
