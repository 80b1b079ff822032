package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/fake/fakesystem"
)

const second = time.Second

// goodHistory returns the history of a run that breaks no rule: three coordinators, two proxies, SIGTERM of p0 at 20 s,
// a kill of p1 at 30 s, three versions of the configuration, each acknowledged 100 ms after it was sent, and the end at
// 60 s.
func goodHistory() *History {
	h := &History{
		Bounds: StatedBounds(), Epoch: time.Unix(1_000_000, 0), Executions: map[string][]fakesystem.Execution{},
		Roles:    map[string]Role{"c0": RoleCoordinator, "c1": RoleCoordinator, "c2": RoleCoordinator, "p0": RoleProxy, "p1": RoleProxy},
		LoadFrom: 10 * second, FaultsFrom: 15 * second, LastFault: 32 * second, StopFrom: 60 * second,
	}
	for node := range h.Roles {
		h.Faults = append(h.Faults, Fault{Node: node, Kind: FaultStart, At: second})
	}
	h.fault("p0", FaultTerminate, 20*second)
	h.end("p0", 22*second, false)
	h.fault("p0", FaultStart, 23*second)
	h.fault("p1", FaultKill, 30*second)
	h.end("p1", 30*second, true)
	h.fault("p1", FaultStart, 31*second)
	for i, sent := range []Moment{2 * second, 16 * second, 40 * second} {
		h.change([]string{"m1", "m2", "m3"}[i], uint64(i), uint64(i+1), sent, http.StatusOK)
	}
	for at := 10 * second; at < 60*second; at += second {
		h.request("p0", KindDocument, at, OutcomeComplete, http.StatusOK)
		h.request("p1", KindStream, at, OutcomeComplete, http.StatusOK)
	}
	h.Reads = append(h.Reads,
		Read{Node: "c0", SentAt: 5 * second, EndedAt: 5 * second, Version: 1, Marker: "m1"},
		Read{Node: "c1", SentAt: 59 * second, EndedAt: 59 * second, Version: 3, Marker: "m3", IsFinal: true})
	h.probe("p0", "m1", 12*second, true)
	h.probe("p0", "m3", 50*second, true)
	h.probe("p0", "m2", 51*second, false)
	h.Memory = append(h.Memory, MemorySample{Node: "p0", At: 20 * second, ResidentBytes: 100 << 20})
	return h
}

func (h *History) fault(node string, kind FaultKind, at Moment) {
	h.Faults = append(h.Faults, Fault{Node: node, Kind: kind, At: at})
}

// slow adds a sample of half a second in which the machine held up a process for longer than MaxRunDelay.
func (h *History) slow(node string, at Moment) {
	h.Delays = append(h.Delays, DelaySample{Node: node, From: at, To: at + second/2, Waited: 101 * time.Millisecond})
}

func (h *History) end(node string, at Moment, isFailure bool) {
	h.Faults = append(h.Faults, Fault{Node: node, Kind: FaultEnd, At: at, IsFailure: isFailure, ExitState: "state"})
}

// change adds a change with one attempt that took 100 ms.
func (h *History) change(marker string, base, version uint64, sent Moment, status int) *Change {
	h.Changes = append(h.Changes, Change{Marker: marker, Base: base, Version: version,
		Attempts: []Attempt{{Node: "c0", SentAt: sent, EndedAt: sent + second/10, Status: status}}})
	return &h.Changes[len(h.Changes)-1]
}

// request adds a request that took 200 ms, with one execution if its status is 200.
func (h *History) request(node string, kind RequestKind, at Moment, outcome Outcome, status int) *Request {
	id := node + "-" + at.String()
	h.Requests = append(h.Requests, Request{ID: id, Node: node, Kind: kind, StartedAt: at, SentAt: at,
		EndedAt: at + second/5, Outcome: outcome, Status: status})
	if status == http.StatusOK {
		h.execute(id, at+second/20, at+second/10)
	}
	return &h.Requests[len(h.Requests)-1]
}

func (h *History) execute(id string, from, to Moment) {
	h.Executions[id] = append(h.Executions[id], fakesystem.Execution{BackendID: "b", StartedAt: h.Epoch.Add(from), EndedAt: h.Epoch.Add(to)})
}

func (h *History) probe(node, marker string, at Moment, isServed bool) {
	probe := Probe{Node: node, Marker: marker, SentAt: at, EndedAt: at + second/100, Status: http.StatusNotFound}
	if isServed {
		probe.Status, probe.IsServed = http.StatusOK, true
	}
	h.Probes = append(h.Probes, probe)
}

// idOffset is added to whole seconds, so that requests of a case get other IDs than those of goodHistory.
const idOffset = 3 * time.Millisecond

// historyCase is an edit of a good history, and the only rule that the edit breaks; no rule: it is allowed.
type historyCase struct {
	name string
	rule Rule
	add  func(h *History)
}

var systemCases = []historyCase{
	{"nothing", "", func(*History) {}},
	{"cut in the drain after it ran", RuleLost, func(h *History) {
		h.execute(h.request("p0", KindDocument, 21*second+idOffset, OutcomeCut, 0).ID, 21*second, 21*second)
	}},
	{"cut late in the drain, never passed on", RuleLost, func(h *History) {
		h.request("p0", KindDocument, 21*second+idOffset, OutcomeCut, 0).EndedAt += second / 4
	}},
	{"cut at once and not passed on", "", func(h *History) { h.request("p0", KindDocument, 21*second+idOffset, OutcomeCut, 0) }},
	{"cut near SIGHUP", RuleLost, func(h *History) {
		h.fault("p0", FaultHangup, 50*second)
		h.request("p0", KindDocument, 50*second+idOffset, OutcomeCut, 0).EndedAt += second / 4
	}},
	{"cut near a kill", "", func(h *History) {
		h.request("p1", KindDocument, 30*second-idOffset, OutcomeCut, 0).EndedAt += second / 4
	}},
	{"cut a quiet time after a kill", RuleLost, func(h *History) {
		h.request("p1", KindDocument, 36*second+idOffset, OutcomeCut, 0).EndedAt += second / 4
	}},
	{"cut near another process's kill", RuleLost, func(h *History) {
		h.request("p0", KindDocument, 30*second+idOffset, OutcomeCut, 0).EndedAt += second / 4
	}},
	{"cut while frozen", "", func(h *History) {
		h.fault("p0", FaultFreeze, 50*second)
		h.request("p0", KindDocument, 51*second+idOffset, OutcomeCut, 0).EndedAt += second / 4
		h.fault("p0", FaultThaw, 52*second)
	}},
	{"cut while slowed", "", func(h *History) {
		h.slow("p0", 50*second)
		h.request("p0", KindDocument, 51*second+idOffset, OutcomeCut, 0).EndedAt += second / 4
	}},
	{"cut while the clients are slowed", "", func(h *History) {
		h.slow(runnerNode, 50*second)
		h.request("p0", KindDocument, 51*second+idOffset, OutcomeCut, 0).EndedAt += second / 4
	}},
	{"cut after it was passed on while slowed", RuleLost, func(h *History) {
		h.slow("p0", 50*second)
		h.execute(h.request("p0", KindDocument, 51*second+idOffset, OutcomeCut, 0).ID, 51*second, 51*second)
	}},
	{"cut after it was passed on early in the drain while slowed", RuleLost, func(h *History) {
		h.slow("p0", 20*second)
		h.execute(h.request("p0", KindDocument, 21*second+idOffset, OutcomeCut, 0).ID, 21*second, 21*second)
	}},
	{"cut after it was passed on late in the drain while slowed", "", func(h *History) {
		h.slow("p0", 54*second)
		h.fault("p0", FaultTerminate, 50*second)
		h.execute(h.request("p0", KindDocument, 53*second+second*95/100, OutcomeCut, 0).ID, 53*second, 53*second)
	}},
	{"cut while another process is slowed", RuleLost, func(h *History) {
		h.slow("p1", 50*second)
		h.request("p0", KindDocument, 51*second+idOffset, OutcomeCut, 0).EndedAt += second / 4
	}},
	{"cut while held up within the bound", RuleLost, func(h *History) {
		h.slow("p0", 50*second)
		h.Delays[0].Waited = 100 * time.Millisecond
		h.request("p0", KindDocument, 51*second+idOffset, OutcomeCut, 0).EndedAt += second / 4
	}},
	{"a document ran twice while slowed", RuleTwice, func(h *History) {
		h.slow("p0", 10*second)
		h.execute(h.Requests[0].ID, 0, 0)
	}},
	{"cut at the client's deadline", "", func(h *History) {
		h.request("p0", KindDocument, 45*second+idOffset, OutcomeCut, 0).EndedAt += clientTimeout
	}},
	{"cut while its backend works in the second half of the grace time", "", func(h *History) {
		h.Faults = nil
		for node := range h.Roles {
			h.fault(node, FaultStart, second)
		}
		h.fault("p0", FaultTerminate, 50*second)
		h.execute(h.request("p0", KindDocument, 53*second+idOffset, OutcomeCut, 0).ID, 53*second, 55*second)
		h.LastFault = 32 * second
	}},
	{"another request's response", RuleMixed, func(h *History) { h.Requests[4].Problem = "x" }},
	{"a document ran twice", RuleTwice, func(h *History) { h.execute(h.Requests[0].ID, 0, 0) }},
	{"a stream ran twice", RuleTwice, func(h *History) { h.execute(h.Requests[1].ID, 0, 0) }},
	{"a read ran twice", "", func(h *History) {
		h.execute(h.request("p0", KindReadOnly, 21*second+idOffset, OutcomeComplete, http.StatusOK).ID, 0, 0)
	}},
	{"rejected and run", RuleRefused, func(h *History) {
		h.execute(h.request("p0", KindDocument, 50*second+idOffset, OutcomeComplete, http.StatusServiceUnavailable).ID, 0, 0)
	}},
	{"run without a client's request", RuleUnasked, func(h *History) { h.execute("unknown", 0, 0) }},
	{"six denied", RuleDenied, func(h *History) {
		for i := range 6 {
			h.request("p0", KindDocument, 50*second+Moment(i+1)*idOffset, OutcomeComplete, http.StatusNotFound)
		}
	}},
	{"five denied", "", func(h *History) {
		for i := range 5 {
			h.request("p0", KindDocument, 50*second+Moment(i+1)*idOffset, OutcomeComplete, http.StatusNotFound)
		}
	}},
	{"two acknowledged on one version", RuleConfig, func(h *History) { h.change("m9", 1, 2, 16*second, http.StatusOK) }},
	{"an invalid change acknowledged", RuleConfig, func(h *History) { h.Changes[2].IsInvalid = true }},
	{"an acknowledged change rejected when sent again", RuleConfig, func(h *History) {
		again := Attempt{Node: "c1", SentAt: 41 * second, EndedAt: 41 * second, Status: http.StatusPreconditionFailed}
		h.Changes[2].Attempts = append(h.Changes[2].Attempts, again)
	}},
	{"an acknowledged change rejected when sent again, after an invalid one", RuleConfig, func(h *History) {
		h.change("m9", 3, 4, 40*second+idOffset, http.StatusBadRequest)
		h.Changes[len(h.Changes)-1].IsInvalid = true
		again := Attempt{Node: "c1", SentAt: 41 * second, EndedAt: 41 * second, Status: http.StatusPreconditionFailed}
		h.Changes[2].Attempts = append(h.Changes[2].Attempts, again)
	}},
	{"a change rejected when sent again after another", "", func(h *History) {
		again := Attempt{Node: "c1", SentAt: 41 * second, EndedAt: 41 * second, Status: http.StatusPreconditionFailed}
		h.Changes[1].Attempts = append(h.Changes[1].Attempts, again)
	}},
	{"an older version read", RuleConfig, func(h *History) {
		h.Reads = append(h.Reads, Read{Node: "c1", SentAt: 41 * second, EndedAt: 42 * second, Version: 2, Marker: "m2"})
	}},
	{"another document read under the version", RuleConfig, func(h *History) {
		h.change("m9", 2, 3, 58*second, http.StatusServiceUnavailable)
		h.Reads = append(h.Reads, Read{Node: "c1", SentAt: 59 * second, EndedAt: 59 * second, Version: 3, Marker: "m9"})
	}},
	{"a rejected change read", RuleConfig, func(h *History) {
		h.change("m9", 2, 9, 39*second, http.StatusPreconditionFailed)
		h.Reads = append(h.Reads, Read{Node: "c1", SentAt: 41 * second, EndedAt: 42 * second, Version: 9, Marker: "m9"})
	}},
	{"a newer unclear change read", "", func(h *History) {
		h.change("m9", 3, 9, 58*second, http.StatusServiceUnavailable)
		h.Reads = append(h.Reads, Read{Node: "c1", SentAt: 59 * second, EndedAt: 59 * second, Version: 9, Marker: "m9"})
	}},
	{"not read back", RuleLost, func(h *History) { h.Reads = h.Reads[:1] }},
	{"a rejected change served", RuleConfig, func(h *History) {
		h.change("m9", 2, 9, 39*second, http.StatusPreconditionFailed)
		h.probe("p0", "m9", 39*second, true)
	}},
	{"no clear answer while the core is stable", RuleAcknowledge, func(h *History) {
		h.change("m9", 3, 9, 45*second, http.StatusServiceUnavailable)
	}},
	{"no clear answer in time while slowed", "", func(h *History) {
		h.slow("c0", 38*second)
		h.change("m9", 3, 9, 39*second, http.StatusPreconditionFailed).Attempts[0].EndedAt = 47 * second
	}},
	{"no clear answer long after while slowed", RuleAcknowledge, func(h *History) {
		h.slow("c0", 36*second)
		h.change("m9", 3, 9, 38*second, http.StatusServiceUnavailable)
	}},
	{"no clear answer while the run stood still", "", func(h *History) {
		h.slow("c0", 34*second)
		h.Delays = append(h.Delays, DelaySample{Node: runnerNode, From: 35 * second, To: 45 * second, Waited: second})
		h.change("m9", 3, 9, 35*second, http.StatusServiceUnavailable)
	}},
	{"no clear answer near a coordinator's kill", "", func(h *History) {
		h.change("m9", 3, 9, 45*second, http.StatusServiceUnavailable)
		h.fault("c0", FaultKill, 42*second)
		h.end("c0", 42*second, true)
	}},
	{"denied after the bound", RuleConfig, func(h *History) { h.probe("p0", "m3", 43*second, false) }},
	{"denied after the bound with a slowed core", "", func(h *History) {
		h.slow("c0", 41*second)
		h.probe("p0", "m3", 43*second, false)
	}},
	{"denied long after the bound with a slowed core", RuleConfig, func(h *History) {
		h.slow("c0", 41*second)
		h.probe("p0", "m3", 58*second, false)
	}},
	{"denied within the bound", "", func(h *History) { h.probe("p0", "m3", 42*second, false) }},
	{"denied near its own start", "", func(h *History) { h.probe("p0", "m2", 24*second, false) }},
	{"denied within the stretched bound", "", func(h *History) {
		h.probe("p0", "m3", 45*second, false)
		h.fault("c0", FaultKill, 41*second)
		h.end("c0", 41*second, true)
	}},
	{"denied after the stretched bound", RuleConfig, func(h *History) {
		h.probe("p0", "m3", 49*second, false)
		h.fault("c0", FaultKill, 41*second)
		h.end("c0", 41*second, true)
	}},
	{"denied without a majority", "", func(h *History) {
		h.probe("p0", "m3", 49*second, false)
		for _, node := range []string{"c0", "c1"} {
			h.fault(node, FaultKill, 41*second)
			h.end(node, 41*second, true)
		}
	}},
	{"a dropped route served after the bound", RuleConfig, func(h *History) { h.probe("p1", "m2", 43*second, true) }},
	{"a dropped route served within the bound", "", func(h *History) { h.probe("p1", "m2", 42*second, true) }},
	{"back to an older version", RuleConfig, func(h *History) {
		h.probe("p1", "m3", 41*second, true)
		h.probe("p1", "m2", 42*second, true)
	}},
	{"denied after it was shown", RuleConfig, func(h *History) {
		h.probe("p0", "m3", 50*second+idOffset, true)
		h.probe("p0", "m3", 55*second, false)
	}},
	{"a rejected change of the version that was shown is denied", "", func(h *History) {
		h.change("m9", 2, 3, 40*second, http.StatusPreconditionFailed)
		h.probe("p0", "m9", 55*second, false)
	}},
	{"back to an older version in the next incarnation", "", func(h *History) {
		h.probe("p1", "m2", 18*second, true)
		h.probe("p1", "m1", 31*second+idOffset, true)
	}},
	{"running after the grace time", RuleProcess, func(h *History) {
		h.fault("p0", FaultTerminate, 50*second)
		h.fault("p0", FaultGraceKill, 58*second)
		h.end("p0", 58*second, true)
	}},
	{"killed within the grace time and again after it", "", func(h *History) {
		h.fault("p0", FaultTerminate, 50*second)
		h.fault("p0", FaultKill, 51*second)
		h.fault("p0", FaultGraceKill, 58*second)
		h.end("p0", 58*second, true)
	}},
	{"ended by SIGTERM at its slow start", "", func(h *History) {
		h.slow("p0", 24*second)
		h.fault("p0", FaultTerminate, 26*second)
		h.end("p0", 26*second, true)
	}},
	{"frozen in the grace time", "", func(h *History) {
		h.fault("p0", FaultFreeze, 49*second)
		h.fault("p0", FaultTerminate, 50*second)
		h.fault("p0", FaultGraceKill, 58*second)
		h.end("p0", 58*second, true)
	}},
	{"killed after the extended grace time while slowed", RuleProcess, func(h *History) {
		h.slow("p0", 52*second)
		h.fault("p0", FaultTerminate, 50*second)
		h.fault("p0", FaultGraceKill, 58*second)
		h.end("p0", 58*second, true)
	}},
	{"ends by itself while slowed", RuleProcess, func(h *History) {
		h.slow("p0", 50*second)
		h.end("p0", 50*second, false)
	}},
	{"ends by itself", RuleProcess, func(h *History) { h.end("p0", 50*second, false) }},
	{"ended by SIGHUP", RuleProcess, func(h *History) {
		h.fault("p0", FaultHangup, 50*second)
		h.end("p0", 50*second, true)
	}},
	{"ended by SIGHUP at its start", RuleProcess, func(h *History) {
		h.fault("p0", FaultHangup, 23*second+idOffset)
		h.end("p0", 23*second+2*idOffset, true)
	}},
	{"ends after a SIGTERM that came while the process before it was stopping", "", func(h *History) {
		h.Faults = append(h.Faults,
			Fault{Node: "p0", Instance: 2, Kind: FaultTerminate, At: 50 * second},
			Fault{Node: "p0", Instance: 2, Kind: FaultStart, At: 51 * second},
			Fault{Node: "p0", Instance: 2, Kind: FaultEnd, At: 52 * second, Lived: 4 * second})
	}},
	{"ends by itself while the process before it is stopping", RuleProcess, func(h *History) {
		h.fault("p0", FaultTerminate, 50*second)
		h.Faults = append(h.Faults, Fault{Node: "p0", Instance: 2, Kind: FaultEnd, At: 51 * second, Lived: second / 2})
	}},
	{"fails at SIGTERM", RuleProcess, func(h *History) {
		h.fault("p0", FaultTerminate, 50*second)
		h.end("p0", 51*second, true)
	}},
	{"too much memory", RuleMemory, func(h *History) { h.Memory[0].ResidentBytes = 185 << 20 }},
	{"one proxy never serves again", RuleRecover, func(h *History) {
		for i := range h.Requests {
			if r := &h.Requests[i]; r.Node == "p1" && r.StartedAt > 33*second {
				r.Status = http.StatusBadGateway
			}
		}
	}},
	{"a slowed proxy serves little", "", func(h *History) {
		h.slow("p1", 50*second)
		for i := range h.Requests {
			if r := &h.Requests[i]; r.Node == "p1" && r.StartedAt > 33*second && r.StartedAt < 59*second {
				r.Status = http.StatusBadGateway
			}
		}
	}},
	{"a slowed proxy serves nothing", RuleRecover, func(h *History) {
		h.slow("p1", 50*second)
		for i := range h.Requests {
			if r := &h.Requests[i]; r.Node == "p1" && r.StartedAt > 33*second {
				r.Status = http.StatusBadGateway
			}
		}
	}},
	{"no request after the recovery", RuleRecover, func(h *History) {
		for _, request := range h.Requests[30:] {
			delete(h.Executions, request.ID)
		}
		h.Requests = h.Requests[:30]
	}},
}

// Each case breaks exactly the rule that it names, and an allowed case breaks none.
func TestCheck_ReportsOnlyExpectedRule(t *testing.T) { runHistoryCases(t, goodHistory, systemCases) }

func runHistoryCases(t *testing.T, good func() *History, cases []historyCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := good()
			c.add(h)
			found := Check(h)
			assert.Equal(t, c.rule == "", len(found) == 0)
			for _, violation := range found {
				assert.Equal(t, c.rule, violation.Rule, violation.Text)
			}
		})
	}
}
