// Package loadpolling schedules load polls of servers, for deployments in which servers send no load reports otherwise.
// It is pure.
package loadpolling

// A poll costs its server some work, and the deployment as a whole a little. Servers update their load figures two or
// three times per second, and balancers smooth the reports over seconds, so more than one poll per second gains
// nothing.
const (
	minInterval      = 1_000_000 // microseconds between two polls of one server by one balancer
	minGroupInterval = 500_000   // the same by all N balancers together: each polls every N of these intervals
	pollsPerRequest  = 0.05      // upper bound on the polls of a balancer per request that it gets
	jitter           = 0.1       // fraction of the interval by which polls come early or late
)

// Interval returns the time between two polls of one server by one balancer, in microseconds. servers is the number of
// servers that the balancer polls, balancers the number of balancers that share them, and rate the balancer's requests
// per second.
func Interval(servers, balancers int, rate float64) int64 {
	interval := max(minInterval, minGroupInterval*float64(balancers))
	return int64(max(interval, 1e6*float64(servers)/(pollsPerRequest*max(1, rate))))
}

// Schedule is the schedule of one server's polls. In the zero Schedule no poll is planned.
type Schedule struct {
	next    int64 // time of the next poll, in microseconds
	planned bool
}

// Due reports whether the server is to be polled at now, in microseconds, and plans the next poll if so. random is a
// random number from 0 to 1. The first poll comes at a random time within an interval, so that balancers that start
// together do not poll together; later polls are jittered.
func (s *Schedule) Due(now, interval int64, random float64) bool {
	if !s.planned {
		s.next, s.planned = now+int64(random*float64(min(interval, minInterval))), true
		return false
	}
	if now < s.next {
		return false
	}
	s.next = now + int64((1-jitter+2*jitter*random)*float64(interval))
	return true
}
