package soak

import "time"

// checkDrains checks that no proxy in touch sends a request to a backend more than Bounds.Drain after the platform's
// list showed the backend as draining. A proxy is in touch if it had no disturbing fault, and more than half of the
// coordinators ran all the while. The time for which the machine held up processes extends the bound.
func checkDrains(h *History, t *timeline) violations {
	var found violations
	unslowed := t.withoutSlowness()
	drainedAt := map[string]Moment{}
	for _, drain := range h.Drains {
		drainedAt[drain.Backend] = drain.At
	}
	for i := range h.Requests {
		request := &h.Requests[i]
		for _, execution := range h.Executions[request.ID] {
			at, isDrained := drainedAt[execution.BackendID]
			arrived := h.moment(execution.StartedAt)
			if !isDrained || arrived <= at+t.bounds.Drain+t.heldUp(request.Node, at, arrived) {
				continue
			}
			if unslowed.isUndisturbed(request.Node, at, arrived) && unslowed.hadMajority(at, arrived) {
				found.add(RuleDrain, arrived, "%s of %s reached %s %.3fs after the list showed it as draining", request.ID,
					request.Node, execution.BackendID, (arrived - at).Seconds())
			}
		}
	}
	return found
}

// heldUp returns for how long the machine held up what passes a list of backends on to a proxy in a span: the runner,
// which runs the platform, the coordinators, and the proxy itself.
func (t *timeline) heldUp(proxy string, from, to Moment) time.Duration {
	var sum time.Duration
	for _, node := range append([]string{runnerNode, proxy}, t.coordinators...) {
		for _, sample := range t.slowed[node] {
			if sample.To >= from && sample.From <= to {
				sum += sample.Waited
			}
		}
	}
	return sum
}
