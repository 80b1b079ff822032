package checker

import (
	"pumiceline/internal/fleetsim/model"
)

// A crash of a cold server violates the rule if at least notifiedShare of the server's work came from proxies that were
// notified of its start or should have been.
const notifiedShare = 2.0 / 3

// coldServer is a recently started server, with the work that arrived within the overload window.
type coldServer struct {
	startedAt   Time
	arrivals    []coldArrival
	head        int // index of the first arrival within the window
	work        float64
	isOverBound bool
}

// coldArrival is an attempt's arrival at a cold server.
type coldArrival struct {
	at    Time
	work  float64
	proxy int32
}

// add adds an arrival and drops the arrivals that are past the window.
func (s *coldServer) add(arrival coldArrival, window Time) {
	for s.head < len(s.arrivals) && s.arrivals[s.head].at <= arrival.at-window {
		s.work -= s.arrivals[s.head].work
		s.head++
	}
	if s.head > 64 && 2*s.head > len(s.arrivals) {
		s.arrivals = append(s.arrivals[:0], s.arrivals[s.head:]...)
		s.head = 0
	}
	s.arrivals = append(s.arrivals, arrival)
	s.work += arrival.work
}

// observeColdArrival adds an arrival to a cold server's work from all proxies, and checks the work against the server's
// bound.
func (c *Checker) observeColdArrival(rec *model.Record) {
	s := c.coldServers[rec.Server]
	if s == nil {
		return
	}
	window := Time(c.scenario.Overload.Window)
	s.add(coldArrival{rec.At, float64(rec.Work), rec.Proxy}, window)
	capacity := rec.Capacity * float64(window)
	slack, factor := c.scenario.Overload.SlackRequests*c.meanWork, c.scenario.Published.OverloadFactor
	c.report.PeakColdLoad = max(c.report.PeakColdLoad, s.work/(capacity+slack/factor))
	isOverBound := s.work > factor*capacity+slack
	if isOverBound && !s.isOverBound {
		c.report.ColdBoundExceeded++
	}
	s.isOverBound = isOverBound
}

// checkColdRule checks the crash of a cold server. The crash violates the rule if at least notifiedShare of the work
// came from proxies that were notified of the server's start or should have been.
func (c *Checker) checkColdRule(rec *model.Record) {
	c.report.ColdOverloads++
	s := c.coldServers[rec.Server]
	if s == nil {
		return
	}
	total, notified := 0.0, 0.0 // work in microseconds on a standard core
	var lastNotified int32      // the proxy of the last arrival that counts as notified
	for _, arrival := range s.arrivals[s.head:] {
		total += arrival.work
		if c.countsAsNotified(arrival.proxy, rec, s.startedAt) {
			notified += arrival.work
			lastNotified = arrival.proxy
		}
	}
	if total > 0 && notified >= notifiedShare*total {
		rec.Proxy = lastNotified // for the violation, and for observers that get the record after the checker
		c.addViolation(rec, RuleColdServers,
			"cold server %d fell over, %.1f s after its start, under %.2f s of work within %.2f s, "+
				"%.0f%% of it from proxies that knew",
			rec.Server, seconds(rec.At-s.startedAt), total/microsPerSecond, seconds(Time(c.scenario.Overload.Window)),
			100*notified/total)
	}
	delete(c.coldServers, rec.Server)
}

// countsAsNotified says whether a proxy was notified of the server's start, or would have been if it had called
// discovery in time.
func (c *Checker) countsAsNotified(proxy int32, rec *model.Record, started Time) bool {
	p := &c.proxies[proxy]
	if p.notifiedStart[rec.Server] >= started {
		return true
	}
	age := c.assumedListAge(p, rec.At)
	return age > 0 && c.listedStart[rec.Server] >= started && rec.At > c.startListedAt[rec.Server]+age
}
