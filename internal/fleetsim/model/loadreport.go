package model

import (
	"math"

	"pumiceline/internal/standalone/policy"
)

// reportColumns is how many values a load report has: utilization, requests and errors a second.
const reportColumns = 3

// reportHistory is the ring of a server's last load reports; count is of all that it has had.
type reportHistory struct {
	ring  [8]loadReport
	count int
}

// loadReport is what a server measured up to a time; see reportColumns.
type loadReport struct {
	at     Time
	values [reportColumns]float32
}

func (h *reportHistory) add(r loadReport) {
	h.count++
	h.ring[h.count%len(h.ring)] = r
}

// latestBefore returns the latest report up to t.
func (h *reportHistory) latestBefore(t Time) (values [reportColumns]float32, has bool) {
	for i := 0; i < min(h.count, len(h.ring)); i++ {
		if r := &h.ring[(h.count-i)%len(h.ring)]; r.at <= t {
			return r.values, true
		}
	}
	return values, false
}

// currentReport returns the load report that a server gives now: refreshed once an interval, and delayed.
func (sm *simulation) currentReport(s *server) (values [reportColumns]float32, has bool) {
	config := &sm.scenario.Reports
	if sm.now-s.reportedAt >= Time(config.Interval) {
		sm.refreshReport(s)
	}
	return s.reports.latestBefore(sm.now - Time(config.Delay) - s.reportDelay)
}

// refreshReport measures a server's load since the last report, with noise.
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

// resetCounts starts the measurements of the next report.
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

// receivePollResult gives a proxy the result of its load poll: the server's report, which is delayed like any, or a
// time-out where the server hangs or is not reached.
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
