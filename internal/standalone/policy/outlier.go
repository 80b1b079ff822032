package policy

import "pumiceline/internal/standalone/latencybaseline"

// Outlier detection, in the sense of gRFC A50: a server whose outcomes show that it cannot serve is ejected
// from the schedule for a time. A50's ejection by success rate or failure percentage is not used; failing
// servers lose weight instead, see healthFactor.
const (
	// maxConnectFailures is the number of failures to connect, without a response in between, after which a
	// server is ejected.
	maxConnectFailures = 2
	// maxTimeouts is the number of time-outs, without a response in between, after which a server is ejected.
	maxTimeouts = 4
	// timeoutFactor is how many times the median an attempt must have taken for its time-out to count: a
	// short client deadline says nothing about the server.
	timeoutFactor = 2
	// slowFactor is how many times the median a server's recent attempts must take for the server to count as
	// slow, and how many times the median may pass without an outcome until it counts as stalled. The
	// difference between instance types is smaller, and single requests take longer only occasionally.
	slowFactor = 4
	// minRestartTime is how long, in microseconds, a server must not have responded before it is taken for
	// restarted; no process restarts faster. Without it, a network fault that resets connections would make
	// all servers count as warming up.
	minRestartTime = 1_000_000
	// idleConnTimeout is how long, in microseconds, an unused connection is kept. Servers accept a limited
	// number of connections: those that one balancer keeps without using them are not available to the
	// others.
	idleConnTimeout = 2_000_000
)

// The duration of a server's first ejection, and the maximum to which it grows with consecutive ejections, in
// microseconds (gRFC A50: base_ejection_time and max_ejection_time).
const (
	unreachableEjection    = 500_000
	maxUnreachableEjection = 8_000_000
	rejectingEjection      = 250_000
	maxRejectingEjection   = 2_000_000
	timeoutEjection        = 500_000
	maxTimeoutEjection     = 4_000_000
)

const (
	failureGain      = 0.15 // weight of the latest outcome in server.failureRate
	relativeGain     = 0.5  // weight of the latest attempt in server.relativeLatency
	maxRelativeTime  = 10   // upper bound on one attempt's ratio in server.relativeLatency
	minAttemptMedian = 1    // microseconds; 0 stands for an unknown median
)

// attemptMedian updates medianAttemptTime with each attempt.
var attemptMedian = latencybaseline.Quantile{Share: 0.5, Step: 0.06}

// EjectedServers returns the number of servers listed as ready that get no turns because this balancer has
// ejected them or considers them stalled.
func (b *Balancer) EjectedServers() (count int) {
	for _, s := range b.members {
		if s.isReady() && (s.ejected || s.stalled) {
			count++
		}
	}
	return count
}

// mayEject reports whether less than half of the servers are ejected or stalled (gRFC A50:
// max_ejection_percent). If half of them are, the cause is common to all servers, and the load of the ejected
// servers would overload the rest.
func (b *Balancer) mayEject() bool { return 2*b.ejectedOrStalled < len(b.members) }

// eject removes s from the schedule until a probation attempt. The duration starts at first and doubles with
// each consecutive ejection, up to longest.
func (b *Balancer) eject(s *server, first, longest Time) {
	if s.ejected {
		return
	}
	if !s.stalled {
		b.ejectedOrStalled++
	}
	s.ejectionTime = min(max(first, 2*s.ejectionTime), longest)
	s.ejected, s.onProbation = true, false
	s.ejectedUntil = b.now + b.jitter(s.ejectionTime)
}

// endProbation records that s has responded. If s is on probation after failures to connect and had not
// responded for minRestartTime, its slow start begins, as in gRFC A100 when a connection becomes ready.
func (b *Balancer) endProbation(s *server) {
	if s.onProbation && s.unreachable && b.now-s.answeredAt >= minRestartTime {
		b.beginSlowStart(s, b.now)
	}
	s.onProbation, s.unreachable = false, s.unreachable && s.ejected
	s.timeouts, s.connectFailures, s.answeredAt = 0, 0, b.now
}

// observeOutcome updates the state of s with the outcome of attempt a.
func (b *Balancer) observeOutcome(s *server, a *attempt, ev *Event) {
	b.countEnded(s)
	if b.settings.ReportDelivery == ReportsInResponses {
		b.addReport(s, ev.Report)
	}
	switch ev.Outcome {
	case OK:
		b.zoneConnectFailures[s.zone] = 0
		b.observeLatency(s, a.cost, float64(ev.Elapsed), false)
		b.endProbation(s)
		s.ejectionTime = 0
		s.failureRate -= s.failureRate * failureGain
	case ErrorResponse:
		b.endProbation(s)
		s.failureRate += (1 - s.failureRate) * failureGain
	case ConnectionReset:
		s.failureRate += (1 - s.failureRate) * failureGain
	case Rejected:
		b.observeRejection(s)
	case TimedOut:
		b.observeTimeout(s, a, ev)
	case ConnectFailed:
		b.observeConnectFailure(s)
	}
	b.updateSchedule(s)
}

// countEnded removes an ended attempt from the counts. If the server was stalled, it no longer is, and its
// other attempts count again.
func (b *Balancer) countEnded(s *server) {
	s.inFlight--
	b.inFlight--
	s.waitingSince = b.now
	if s.stalled {
		s.stalled = false
		if !s.ejected {
			b.ejectedOrStalled--
		}
		// One more, as this attempt was subtracted twice: by examineServer, and by b.inFlight-- above.
		b.inFlight += s.inFlight + 1
	}
}

// observeRejection ejects a server after a rejection: it is draining before discovery has said so, or its
// queue is full, and it would reject more requests as well.
func (b *Balancer) observeRejection(s *server) {
	b.endProbation(s)
	if b.mayEject() {
		b.eject(s, rejectingEjection, maxRejectingEjection)
	}
}

// observeTimeout ejects a server after several time-outs. A server that does not respond has few attempts in
// flight, since they time out: without ejection its low load score would attract requests.
func (b *Balancer) observeTimeout(s *server, a *attempt, ev *Event) {
	if b.observeLatency(s, a.cost, float64(ev.Elapsed), true) >= timeoutFactor {
		s.timeouts++
	}
	if (s.onProbation && s.timeouts > 0 || s.timeouts >= maxTimeouts) && b.mayEject() {
		b.eject(s, timeoutEjection, maxTimeoutEjection)
	}
}

// observeConnectFailure ejects a server that cannot be reached, also beyond the bound of mayEject, since
// requests to it cannot succeed. A single failure is not enough: a server that responds on other connections
// has not restarted, but after an ejection would be taken for warming up.
func (b *Balancer) observeConnectFailure(s *server) {
	b.zoneConnectFailures[s.zone]++
	s.openConns = min(s.openConns, s.inFlight)
	if s.connectFailures++; s.connectFailures >= maxConnectFailures || s.onProbation {
		s.unreachable = true
		b.eject(s, unreachableEjection, maxUnreachableEjection)
	}
}

// observeLatency compares the time of an attempt, in microseconds, with the median of all servers at its
// cost, and returns the ratio. The median does not move because of single slow servers, and grows when all
// servers are slow. For an attempt that timed out only a lower bound of its time is known: a bound below the
// median is ignored.
func (b *Balancer) observeLatency(s *server, cost, elapsed float64, timedOut bool) (ratio float64) {
	if b.medianAttemptTime == 0 {
		b.medianAttemptTime = max(minAttemptMedian, elapsed)
	}
	ratio = elapsed / (b.medianAttemptTime * timeFactor(cost))
	if timedOut && ratio < 1 {
		return ratio
	}
	if !timedOut || ratio > s.relativeLatency {
		s.relativeLatency += (min(ratio, maxRelativeTime) - s.relativeLatency) * relativeGain
	}
	b.medianAttemptTime = attemptMedian.Next(b.medianAttemptTime, b.medianAttemptTime*ratio)
	return ratio
}

// healthFactor returns the factor on the weight of a server that this balancer finds slow or failing:
//
//	1 / (1 + errorUtilizationPenalty*failureRate^2), divided by relativeLatency from slowFactor on
//
// Load reports come only with successful responses, so they show such a server late or never.
func (s *server) healthFactor() float64 {
	factor := 1 / (1 + errorUtilizationPenalty*s.failureRate*s.failureRate)
	if s.relativeLatency < slowFactor {
		return factor
	}
	return factor / s.relativeLatency
}

// examineServer is called for each server by refresh: it finds stalled servers, closes unused connections and
// ends ejections. A stalled server gets no turn until one of its attempts ends: a hung process keeps its
// connections open, so only the missing responses show that it hangs.
func (b *Balancer) examineServer(s *server) {
	if !s.stalled && s.inFlight > 0 && b.medianAttemptTime > 0 && b.mayEject() &&
		float64(b.now-s.waitingSince) > slowFactor*b.medianAttemptTime {
		s.stalled = true
		if !s.ejected {
			b.ejectedOrStalled++
		}
		b.inFlight -= s.inFlight // its attempts must not fill the concurrency limit
	}
	if s.openConns > s.inFlight && b.now-s.lastSentAt > idleConnTimeout {
		s.openConns = s.inFlight
		b.emit(Action{Kind: CloseIdleConns, Server: s.id})
	}
	if s.ejected && b.now >= s.ejectedUntil {
		s.ejected, s.onProbation = false, true
		if !s.stalled {
			b.ejectedOrStalled--
		}
	}
}
