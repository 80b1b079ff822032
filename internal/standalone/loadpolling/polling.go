// Package loadpolling schedules the polling of servers for their load, where load reports come no other way. It is
// pure.
package loadpolling

// A poll costs its server work, and the deployment a little each. Servers renew their figures two or three times per
// second, and the reports are smoothed over seconds, so that one per second is as good as more.
const (
	minInterval      = 1_000_000 // microseconds between two polls of one server by one balancer
	minGroupInterval = 500_000   // the same by all balancers together: each of N polls after N times as long
	pollsPerRequest  = 0.05      // the most polls that a balancer sends per request that it has
	jitter           = 0.1       // of the interval, by which polls come early or late
)

// Interval is the time between two polls of one server by one balancer, in microseconds. servers is how many it knows,
// balancers how many share them, and rate its requests per second.
func Interval(servers, balancers int, rate float64) int64 {
	interval := max(minInterval, minGroupInterval*float64(balancers))
	return int64(max(interval, 1e6*float64(servers)/(pollsPerRequest*max(1, rate))))
}

// Schedule is the schedule of one server's polls. The zero Schedule has none planned.
type Schedule struct {
	next    int64 // time of the next poll, in microseconds
	planned bool
}

// Due reports whether the server is to be polled now, at now in microseconds, and plans the next poll if so. random is
// a random number from 0 to 1: the first poll comes at random within an interval, so that balancers that start together
// do not poll together, and later ones are jittered.
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
