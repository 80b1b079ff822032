package soak

import (
	"fmt"
	"slices"
	"time"
)

// Result is the outcome of a run.
type Result struct {
	Seed          uint64          `json:"seed"`
	Processes     int             `json:"processes"`
	Steps         map[Action]int  `json:"steps"`
	Faults        map[string]int  `json:"faults"`           // by kind, with starts and ends
	Losses        map[string]int  `json:"losses,omitempty"` // counted losses by kind
	Requests      map[Outcome]int `json:"requests"`
	Served        int             `json:"served"`
	Changes       int             `json:"changes"`
	Acknowledged  int             `json:"acknowledged"`
	Rejected      int             `json:"rejected"`
	Reads         int             `json:"reads"`
	Probes        int             `json:"probes"`
	Drains        int             `json:"drains"`            // backends that left
	PeakMemory    int64           `json:"peak_memory_bytes"` // maximum over all processes
	LockHolds     int             `json:"lock_holds"`
	Numbers       int             `json:"numbers"`
	Puts          int             `json:"puts"` // acknowledged
	Gets          int             `json:"gets"`
	WatchAnswers  int             `json:"watch_answers"`
	DelaySamples  int             `json:"delay_samples"`
	SlowedSamples int             `json:"slowed_samples"` // samples with a wait above MaxRunDelay
	StoodStill    time.Duration   `json:"stood_still"`    // time for which the runner process was stalled
	CallCuts      int             `json:"call_cuts"`      // see countCallCuts
	SlowCuts      int             `json:"slow_cuts"`      // requests whose cut is excused by slowness only
	Violations    []Violation     `json:"violations"`
	Command       string          `json:"command"` // repeats the run
}

// newResult counts the entries of a history, and checks it.
func newResult(opts Options, schedule Schedule, h *History) *Result {
	r := &Result{
		Seed: opts.Seed, Processes: opts.shape().Processes(), Steps: map[Action]int{}, Faults: map[string]int{},
		Requests: map[Outcome]int{}, Changes: len(h.Changes), Reads: len(h.Reads), Probes: len(h.Probes), Drains: len(h.Drains),
		Violations: Check(h), Command: opts.command(),
	}
	for _, step := range schedule {
		r.Steps[step.Action]++
	}
	for _, fault := range h.Faults {
		r.Faults[string(fault.Kind)]++
	}
	for i := range h.Requests {
		r.Requests[h.Requests[i].Outcome]++
		if h.Requests[i].IsServed() {
			r.Served++
		}
	}
	for i := range h.Changes {
		if _, ok := h.Changes[i].acknowledgedAt(); ok {
			r.Acknowledged++
		} else if h.Changes[i].isRejected() {
			r.Rejected++
		}
	}
	for _, sample := range h.Memory {
		r.PeakMemory = max(r.PeakMemory, sample.ResidentBytes)
	}
	r.countApplications(&h.Applications)
	r.StoodStill = newTimeline(h).stoodStill
	r.CallCuts = countCallCuts(h)
	r.SlowCuts = countSlowCuts(h)
	r.DelaySamples = len(h.Delays)
	for _, sample := range h.Delays {
		if sample.Waited > h.Bounds.MaxRunDelay {
			r.SlowedSamples++
		}
	}
	return r
}

// countCallCuts counts the calls of applications, without watches, that a coordinator cut more than lossSlackMs after
// they were sent, although it was not killed, frozen or slowed. They are only counted, because the operators'
// documentation states the rule LOST for requests but not for these calls.
func countCallCuts(h *History) (count int) {
	t := newTimeline(h)
	for _, cut := range h.Applications.Cuts {
		from := cut.SentAt - t.bounds.Quiet
		isExcused := cut.isWatch() || cut.EndedAt-cut.SentAt <= t.bounds.LossSlack || t.isSlowed(cut.Node, from, cut.EndedAt) ||
			t.isFrozenWithin(cut.Node, from, cut.EndedAt) || t.has(cut.Node, from, cut.EndedAt, FaultKill, FaultFreeze, FaultThaw)
		if !isExcused {
			count++
		}
	}
	return count
}

// countSlowCuts counts the requests whose cut is excused by slowness only.
func countSlowCuts(h *History) (count int) {
	t := newTimeline(h)
	for i := range h.Requests {
		request := &h.Requests[i]
		if request.Outcome == OutcomeCut && !isCutExcused(h, t.withoutSlowness(), request) && isCutExcused(h, t, request) {
			count++
		}
	}
	return count
}

// countApplications counts the holds of locks and the successful calls of applications. A get of a missing key counts
// too.
func (r *Result) countApplications(h *ApplicationHistory) {
	r.LockHolds = len(h.Holds)
	for _, call := range h.Numbers {
		if call.Status == statusOK {
			r.Numbers++
		}
	}
	for _, put := range h.Puts {
		if slices.ContainsFunc(put.Attempts, func(a PutAttempt) bool { return a.Status == statusOK }) {
			r.Puts++
		}
	}
	for _, get := range h.Gets {
		if isAnswerOfGet(get.Status) {
			r.Gets++
		}
	}
	for _, call := range h.Watches {
		if call.Status == statusOK {
			r.WatchAnswers++
		}
	}
}

// String returns the counts of the run in one line.
func (r *Result) String() string {
	return fmt.Sprintf("seed %d: %d processes, faults %v, losses %v, requests %v, %d served, changes %d (%d acknowledged, %d rejected), "+
		"%d reads, %d probes, %d drains, holds %d, numbers %d, puts %d, gets %d, watches %d, peak memory %d MiB, slowed in %d of %d samples, stood still for %v, %d cuts for slowness, "+
		"%d calls cut, %d violations", r.Seed, r.Processes, r.Faults, r.Losses, r.Requests, r.Served, r.Changes,
		r.Acknowledged, r.Rejected, r.Reads, r.Probes, r.Drains, r.LockHolds, r.Numbers, r.Puts, r.Gets, r.WatchAnswers, r.PeakMemory>>20, r.SlowedSamples, r.DelaySamples, r.StoodStill.Round(time.Millisecond), r.SlowCuts, r.CallCuts, len(r.Violations))
}
