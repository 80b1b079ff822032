package policy

// detectOverdue takes an attempt that has been in flight for longer than a response without congestion takes
// as a congestion signal now. Its response would signal it only once the queue is served, while the limit
// stays as it is. One attempt signals at a time, the oldest: all those of a queue together would bring the
// limit down to the least before the first effect shows.
//
// This is so only while most of the servers with attempts in flight have such an attempt. Where a few have,
// these hang or are slow by themselves, and the limit is for all of them together.
func (b *Balancer) detectOverdue() {
	overdue := b.overdueAttempts()
	if !b.isGeneral(overdue) {
		return
	}
	var oldest *overdueAttempt
	for i := range overdue {
		o := &overdue[i]
		if !o.overdue && (oldest == nil || o.isBefore(oldest)) {
			oldest = o
		}
	}
	if oldest != nil {
		oldest.overdue = true
		b.applySignal(true)
	}
}

// isGeneral reports whether most of the servers with attempts in flight have one of these.
func (b *Balancer) isGeneral(overdue []overdueAttempt) bool {
	servers := map[*server]bool{}
	for i := range overdue {
		servers[overdue[i].server] = true
	}
	return 2*len(servers) > b.busyServers()
}

// overdueAttempt is an attempt in flight that would signal congestion if its response came now.
type overdueAttempt struct {
	*attempt
	requestID uint64
}

// isBefore orders attempts by when their servers had them. Ties are broken so that a run can be repeated.
func (o *overdueAttempt) isBefore(other *overdueAttempt) bool {
	if o.countedAt != other.countedAt {
		return o.countedAt < other.countedAt
	}
	return o.requestID < other.requestID
}

// overdueAttempts returns the attempts in flight that would signal congestion if their responses came now.
// Some may have signalled it already.
func (b *Balancer) overdueAttempts() []overdueAttempt {
	var overdue []overdueAttempt
	for id, r := range b.requests {
		if r.streaming {
			continue
		}
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.inFlight && a.showsCongestion() && b.isCongested(r, b.now-a.countedAt) {
				overdue = append(overdue, overdueAttempt{attempt: a, requestID: id})
			}
		}
	}
	return overdue
}

// showsCongestion reports whether the time that the attempt takes can show congestion, and not its client
// or a server that is slow by itself.
func (a *attempt) showsCongestion() bool {
	s := a.server
	return !a.bodyPending && !s.stalled && !s.warmingUp && s.relativeLatency < slowFactor
}

// busyServers returns how many servers have attempts in flight.
func (b *Balancer) busyServers() (count int) {
	for _, s := range b.members {
		if s.inFlight > 0 && !s.stalled {
			count++
		}
	}
	return count
}
