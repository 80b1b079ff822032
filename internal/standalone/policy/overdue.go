package policy

// detectOverdue counts an attempt as a congestion signal while it is still in flight, once it has taken
// longer than a response without congestion. Its response would be a signal only after the queue has been
// served, and the limit would stay unchanged until then. Each call counts only one attempt, the oldest that
// has not been counted: if all attempts in a queue counted at once, they would lower the limit to its minimum
// before the first decrease shows an effect.
//
// An attempt is counted only while most of the busy servers have overdue attempts. If only a few servers have
// them, these servers hang or are slow themselves, and the limit covers all servers together.
func (b *Balancer) detectOverdue() {
	overdue := b.overdueAttempts()
	if !b.affectsMostServers(overdue) {
		return
	}
	var oldest *overdueAttempt
	for i := range overdue {
		o := &overdue[i]
		if !o.signalledOverdue && (oldest == nil || o.isBefore(oldest)) {
			oldest = o
		}
	}
	if oldest != nil {
		oldest.signalledOverdue = true
		b.applySignal(true)
	}
}

// affectsMostServers reports whether most of the servers with attempts in flight have one of the overdue
// attempts.
func (b *Balancer) affectsMostServers(overdue []overdueAttempt) bool {
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

// isBefore orders attempts by when their servers received them. Ties are broken by request ID, as the order
// of a map must not decide: equal events must give equal actions.
func (o *overdueAttempt) isBefore(other *overdueAttempt) bool {
	if o.countedAt != other.countedAt {
		return o.countedAt < other.countedAt
	}
	return o.requestID < other.requestID
}

// overdueAttempts returns the attempts in flight that would signal congestion if their responses came now,
// including those that have been counted as a signal before.
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

// showsCongestion reports whether the attempt's time so far can show congestion. It cannot while the client
// is still sending, or at a server that is itself stalled, warming up or slow.
func (a *attempt) showsCongestion() bool {
	s := a.server
	return !a.bodyPending && !s.stalled && !s.warmingUp && s.relativeLatency < slowFactor
}

// busyServers returns how many servers have attempts in flight and are not stalled.
func (b *Balancer) busyServers() (count int) {
	for _, s := range b.members {
		if s.inFlight > 0 && !s.stalled {
			count++
		}
	}
	return count
}
