// Package loadpolling says when a server is asked for its load, where load reports come no other way. It is pure.
package loadpolling

// A probe costs its server work, and the deployment a little for each. Servers renew their figures two or three times in a
// second, and what they say is smoothed over seconds, so that a report a second is as good as more.
const (
	leastEvery = 1_000_000 // microseconds between two probes of one server by one balancer, at least
	eachEvery  = 500_000   // the same by all balancers together: N of them leave N times as long
	perRequest = 0.05      // probes that a balancer may send for each request that it has
)

// Interval is how long a balancer leaves between two probes of one server, in microseconds, if it knows of this many servers, shares
// them with others so that there are balancers of them in all, and has rate requests a second.
func Interval(servers, balancers int, rate float64) int64 {
	every := max(leastEvery, eachEvery*float64(balancers))
	return int64(max(every, 1e6*float64(servers)/(perRequest*max(1, rate))))
}

// Schedule is when a server was probed last. The zero Turn was never.
type Schedule struct {
	next int64
	set  bool
}

// Due says whether the server is to be probed now, at now in microseconds, and takes it that it is. drawn is a random number from 0
// to 1: the first probe comes within one period, so that balancers that start together do not probe together, and later ones
// a tenth of it early or late.
func (t *Schedule) Due(now, every int64, drawn float64) bool {
	if !t.set {
		t.next, t.set = now+int64(drawn*float64(min(every, leastEvery))), true
		return false
	}
	if now < t.next {
		return false
	}
	t.next = now + int64((0.9+0.2*drawn)*float64(every))
	return true
}
