package policy

import (
	"pumiceline/internal/edf"
	"pumiceline/internal/standalone/loadpolling"
)

// server is the state that this balancer keeps about one server. The server is in the schedule while it may
// get turns.
type server struct {
	edf.Item[server]

	// From discovery.
	id           ServerID
	zone         uint8
	cell         uint16
	instanceType int // index into Balancer.instanceTypes
	mode         Mode
	listed       bool
	size         float64
	startedAt    Time // of the process; 0: long ago

	// Load reports, as exponentially decaying sums (reportTimeConstant).
	qpsSum, utilizationSum, epsSum float64
	reportWeight                   float64 // sum of the reports' weights
	lastReport                     parsedReport
	lastReportAt                   Time
	nonEmptySince                  Time // A58: when valid reports began; 0: none yet, or they expired
	polling                        loadpolling.Schedule

	// Slow start.
	readySince      Time // A100
	warmingUp       bool
	slowStartTokens float64 // budget in mean requests

	// Weight.
	weight           float64 // in use
	relativeWorkTime float64 // time for the same work, relative to a mean server

	// Attempts.
	inFlight     int
	uploading    int // attempts whose clients are still sending the body
	openConns    int // estimated number of open connections; the caller keeps the connections
	lastSentAt   Time
	waitingSince Time // since then attempts are in flight and none has ended

	// Outlier detection.
	relativeLatency float64 // moving average of attempt times, relative to the median of all servers
	failureRate     float64 // moving average of attempts that failed
	timeouts        int     // attempts that timed out since the last response
	connectFailures int     // attempts that could not connect since the last response
	answeredAt      Time    // of the last response
	stalled         bool    // attempts are in flight and none has ended for a long time, see examineServer
	ejected         bool    // out of the schedule until ejectedUntil
	ejectedUntil    Time
	ejectionTime    Time // duration of the latest ejection; it grows with consecutive ejections
	unreachable     bool // ejected because of failures to connect
	onProbation     bool // may get one attempt after an ejection, whose outcome ends or renews the ejection
}

// isReady reports whether discovery lists s as ready.
func (s *server) isReady() bool { return s.listed && s.mode == ModeReady }
