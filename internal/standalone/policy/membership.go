package policy

import "pumiceline/internal/standalone/affinity"

// onMembership applies a complete membership, or changes to it.
func (b *Balancer) onMembership(ev *Event) {
	for _, s := range b.members {
		s.listed = s.listed && ev.Kind == MembershipDelta
	}
	for i := range ev.Members {
		b.applyMember(&ev.Members[i])
	}
	var ready []affinity.Member
	for _, s := range b.members {
		b.updateSchedule(s) // removes a server that is no longer listed from the schedule
		if s.isReady() {
			ready = append(ready, affinity.Member{ID: s.id, Weight: s.size})
		}
	}
	b.affinity.SetMembers(ready)
	if ev.Kind != MembershipCached {
		b.onSubscribed()
	}
	b.updateMeans()
	b.setInitialLimit()
}

// applyMember applies one entry. A server that is draining or gone is removed from the schedule at once. A
// new server gets its first turn at a random time within its interval, so that balancers do not all send to
// it first.
func (b *Balancer) applyMember(m *Member) {
	s := b.servers[m.Server]
	if m.Mode == ModeGone {
		if s != nil {
			s.listed, s.mode = false, ModeGone
			b.updateSchedule(s)
		}
		return
	}
	isNew := s == nil
	if isNew {
		s = b.addServer(m.Server)
	}
	s.zone, s.cell, s.mode, s.size, s.listed = m.Zone, m.Cell, m.Mode, m.relativeSize(), true
	s.instanceType = b.instanceTypeIndex(m.InstanceType)
	if isNew || m.StartedAt != s.startedAt {
		b.setStartedAt(s, m.StartedAt, isNew)
	}
	if isNew {
		s.weight = max(minWeight, b.expectedWeight(s)*b.slowStartFactor(s)*b.zoneFactor(s))
		s.Deadline = b.virtualTime + b.rng.Float64()/s.weight
	}
	b.updateSchedule(s)
}

// addServer adds a server. It counts as warm and as an average server until discovery or reports say
// otherwise.
func (b *Balancer) addServer(id ServerID) *server {
	warmedUp := -b.settings.Rules.WarmupTime
	s := &server{id: id, relativeLatency: 1, readySince: warmedUp, weight: 1, relativeWorkTime: 1}
	s.TieBreaker, s.Value = s.id, s
	b.servers[id] = s
	b.members = append(b.members, s)
	return s
}

// setStartedAt records when the server's process was started. Reports of a previous process are discarded.
func (b *Balancer) setStartedAt(s *server, startedAt Time, isNew bool) {
	s.startedAt = startedAt
	if !isNew {
		s.discardReports()
	}
	isWarmingUp := startedAt > 0 && b.now-startedAt < b.settings.Rules.WarmupTime
	if isWarmingUp && startedAt > s.readySince {
		b.beginSlowStart(s, startedAt)
	}
}

// instanceTypeIndex returns the index of an instance type in b.instanceTypes and adds a new type to it.
func (b *Balancer) instanceTypeIndex(instanceType uint16) int {
	for i := range b.instanceTypes {
		if b.instanceTypes[i].instanceType == instanceType {
			return i
		}
	}
	b.instanceTypes = append(b.instanceTypes, capacityStats{instanceType: instanceType})
	return len(b.instanceTypes) - 1
}

// removeGoneServers removes servers that are no longer listed and have no attempts. Such a server is not in
// the schedule and not stalled.
func (b *Balancer) removeGoneServers() {
	kept := b.members[:0]
	for _, s := range b.members {
		if s.listed || s.inFlight+s.uploading > 0 {
			kept = append(kept, s)
			continue
		}
		if s.ejected {
			b.ejectedOrStalled--
		}
		delete(b.servers, s.id)
	}
	clear(b.members[len(kept):])
	b.members = kept
}
