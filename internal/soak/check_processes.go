package soak

import (
	"maps"
	"slices"
)

// checkEnds checks that processes exit cleanly within the grace time after SIGTERM, and never exit by themselves. The
// fleet extends the grace time by the time that the machine held up the process, so slowness does not excuse a process
// that is killed after it.
func checkEnds(h *History, t *timeline) violations {
	var found violations
	for _, fault := range h.Faults {
		start := t.startOf(fault)
		switch fault.Kind {
		case FaultGraceKill:
			terminated, _ := t.firstOfProcess(fault, start, FaultTerminate)
			_, isKilled := t.firstOfProcess(fault, start, FaultKill)
			if !t.isFrozenWithin(fault.Node, terminated.At, fault.At) && !isKilled {
				found.add(RuleProcess, fault.At, "%s runs after the grace time, %v after SIGTERM", fault.Node,
					fault.At-terminated.At)
			}
		case FaultEnd:
			if text := endProblem(t, fault, start); text != "" {
				found.add(RuleProcess, fault.At, "%s %s: %s", fault.Node, text, fault.ExitState)
			}
		}
	}
	return found
}

// endProblem describes the fault in the end of a process that was started at a moment; empty: none. SIGHUP may end no
// process.
func endProblem(t *timeline, end Fault, start Moment) string {
	if _, isKilled := t.firstOfProcess(end, start, FaultKill, FaultGraceKill); isKilled {
		return ""
	}
	terminated, ok := t.firstOfProcess(end, start, FaultTerminate)
	if !ok {
		return "ended by itself, " + end.Lived.String() + " after its start"
	}
	justStarted := start + t.bounds.OwnEndSlack // until then SIGTERM may arrive before the process handles it
	if t.isSlowed(end.Node, start, terminated.At) {
		justStarted += t.slowExtra()
	}
	if end.IsFailure && terminated.At > justStarted {
		return "ended not in order after SIGTERM"
	}
	return ""
}

// checkMemory checks that no process exceeds the memory of its machine. It reports each node at most once.
func checkMemory(h *History, t *timeline) violations {
	var found violations
	reported := map[string]bool{}
	for _, sample := range h.Memory {
		if sample.ResidentBytes > t.bounds.MemoryBytes && !reported[sample.Node] {
			reported[sample.Node] = true
			found.add(RuleMemory, sample.At, "%s uses %d MiB of %d", sample.Node, sample.ResidentBytes>>20,
				t.bounds.MemoryBytes>>20)
		}
	}
	return found
}

// servedCount is the number of requests sent, and of those that were served.
type servedCount struct{ served, sent int }

func (c servedCount) isRecovered() bool { return float64(c.served) >= recoveredShare*float64(c.sent) }

// checkRecovery checks that each proxy that served before the first fault serves again within the bound after the last
// one.
func checkRecovery(h *History, t *timeline) violations {
	var found violations
	before := countServed(h, h.LoadFrom, h.FaultsFrom)
	recovered := h.LastFault + t.bounds.Recovery
	after := countServed(h, recovered, h.StopFrom)
	for node, role := range h.Roles {
		if role != RoleProxy || !before[node].isRecovered() || h.isAdded(node) {
			continue
		}
		count := after[node]
		if count.served > 0 && t.isSlowed(node, h.LastFault, h.StopFrom) {
			continue // it serves some requests; the slowed machine limits their number
		}
		if count.sent == 0 || !count.isRecovered() {
			found.add(RuleRecover, recovered, "%s served %d of %d requests sent more than %v after the last fault", node,
				count.served, count.sent, t.bounds.Recovery)
		}
	}
	hasProxies := slices.Contains(slices.Collect(maps.Values(h.Roles)), RoleProxy)
	if hasProxies && len(h.Requests) == 0 {
		found.add(RuleRecover, recovered, "no request was sent")
	}
	return found
}

// isAdded reports whether a node was first started after the first fault. Clients call none of those.
func (h *History) isAdded(node string) bool {
	for _, fault := range h.Faults {
		if fault.Node == node {
			return fault.Kind == FaultStart && fault.At >= h.FaultsFrom
		}
	}
	return false
}

// countServed counts by proxy the requests that were started in a span.
func countServed(h *History, from, to Moment) map[string]servedCount {
	counts := map[string]servedCount{}
	for i := range h.Requests {
		request := &h.Requests[i]
		if request.StartedAt < from || request.StartedAt >= to {
			continue
		}
		count := counts[request.Node]
		count.sent++
		if request.IsServed() {
			count.served++
		}
		counts[request.Node] = count
	}
	return counts
}
