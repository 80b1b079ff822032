package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

// reportColumns is the number of values in a load report: utilization, requests per second and errors per second.
const reportColumns = 3

// reportHistory is a ring of a server's latest load reports. count is the number of all reports since its start.
type reportHistory struct {
	ring  [8]loadReport
	count int
}

// loadReport contains the measurements of a server up to a time; see reportColumns.
type loadReport struct {
	at     Time
	values [reportColumns]float32
}

func (h *reportHistory) add(r loadReport) {
	h.count++
	h.ring[h.count%len(h.ring)] = r
}

// latestBefore returns the latest report of time t or earlier; has is false if there is none.
func (h *reportHistory) latestBefore(t Time) (values [reportColumns]float32, has bool) {
	for i := 0; i < min(h.count, len(h.ring)); i++ {
		if r := &h.ring[(h.count-i)%len(h.ring)]; r.at <= t {
			return r.values, true
		}
	}
	return values, false
}

// currentReport returns the load report that a server sends now. Reports are refreshed at most once per interval and
// become available after a delay.
func (sm *simulation) currentReport(s *server) (values [reportColumns]float32, has bool) {
	config := &sm.scenario.Reports
	if sm.now-s.reportedAt >= Time(config.Interval) {
		sm.refreshReport(s)
	}
	return s.reports.latestBefore(sm.now - Time(config.Delay) - s.reportDelay)
}

// refreshReport adds a report of a server's load since the last report, with noise.
func (sm *simulation) refreshReport(s *server) {
	sm.advanceServer(s)
	elapsed := float64(sm.now - s.reportedAt)
	noise := func() float64 { return math.Max(0, 1+sm.scenario.Reports.Noise*sm.serverRand.NormFloat64()) }
	utilization := math.Min(1, s.busyTime/elapsed/float64(s.instanceType.Cores)*(1-s.stolenShare)+s.stolenShare)
	s.reports.add(loadReport{sm.now, [reportColumns]float32{float32(utilization * noise()),
		float32(s.completed / elapsed * microsPerSecond * noise()),
		float32(s.errors / elapsed * microsPerSecond * noise())}})
	s.resetCounts(sm.now)
}

// resetCounts resets the measurements for the next report.
func (s *server) resetCounts(now Time) {
	s.busyTime, s.completed, s.errors, s.reportedAt = 0, 0, 0, now
}

// pollLoad carries out a node's PollLoad.
func (sm *simulation) pollLoad(proxyIndex int32, serverID uint32) {
	s := sm.findServer(serverID)
	if sm.scenario.Reports.delivery() != policy.ReportsByPolling || s == nil {
		sm.fail(proxyIndex, "probes server %d, which it may not", serverID)
		return
	}
	sm.observe(Record{Kind: ServerPolled, Proxy: proxyIndex, Server: serverID})
	p := &sm.proxies[proxyIndex]
	roundTrip := sm.networkDelay(p.zone, s.zone) + sm.networkDelay(s.zone, p.zone)
	sm.schedule(sm.nextTick(sm.now+roundTrip), event{kind: evPollResult, subject: proxyIndex, number: p.generation,
		id: uint64(serverID)})
}

// receivePollResult delivers the result of a load poll to a proxy. The result is the server's report, delayed like all
// reports, or a time-out if the server is down, hangs, pauses or cannot be reached.
func (sm *simulation) receivePollResult(proxyIndex, generation int32, serverID uint32) {
	if !sm.isRunning(proxyIndex, generation) {
		return
	}
	s := sm.findServer(serverID)
	sm.policyEvent = policy.Event{Kind: policy.LoadPolled, Server: serverID, Outcome: policy.TimedOut}
	if s.state != stateDown && s.hangs == 0 && s.pauses == 0 && !sm.isServerPartitioned(proxyIndex, s) {
		sm.policyEvent.Outcome = policy.OK
		if report, has := sm.currentReport(s); has {
			sm.reportBuffer = append(sm.reportBuffer[:0], report[:]...)
			sm.policyEvent.Report = sm.reportBuffer
		}
	}
	sm.deliver(proxyIndex)
}
