package singleton

import (
	"fmt"
	"maps"
	"slices"
)

// LeaseManager grants roles and expires leases at the member that leads. It has its knowledge of instances and progress
// from heartbeats alone, anew after each change of the leader; at its start every lease counts as just renewed.
type LeaseManager struct {
	settings           Settings
	instances          map[string]*instance // by name
	leases             map[string]lease     // by role
	penalizedUntil     map[string]Time      // by instance, until when it is granted nothing
	seenExpirations    map[string]int       // by instance, as of the latest tick, to notice a further expiration
	lastExpiration     map[string]Time      // by instance with expirations
	inheritedLeasesEnd Time                 // by then every lease that an earlier leader granted has ended
}

// instance is a process that sends heartbeats.
type instance struct {
	heartbeat  Heartbeat // the latest
	receivedAt Time
}

// lease is what the lease manager knows of a lease besides the Assignment.
type lease struct {
	token        FencingToken
	steps        uint64
	lastProgress Time
	notBefore    Time // it does not expire earlier: a leader with longer leases may have granted it
	ending       bool // its expiration was proposed and may be in the log already: it must not be renewed any more
}

// NewLeaseManager returns the lease manager of a member that begins to lead at now. The state must include every command
// that was committed under earlier leaders.
func NewLeaseManager(settings Settings, s *State, now Time) *LeaseManager {
	m := &LeaseManager{
		settings:           settings,
		instances:          map[string]*instance{},
		leases:             map[string]lease{},
		penalizedUntil:     map[string]Time{},
		seenExpirations:    map[string]int{},
		lastExpiration:     map[string]Time{},
		inheritedLeasesEnd: now + max(settings.LeaseDuration, s.LeaseDuration),
	}
	for role, a := range s.Assignments {
		if a.Holder != "" {
			m.leases[role] = lease{token: a.Token, lastProgress: now, notBefore: m.inheritedLeasesEnd}
		}
	}
	for name, n := range s.Expirations { // the state does not say when they were: the penalty starts anew
		m.seenExpirations[name], m.penalizedUntil[name], m.lastExpiration[name] = n, now+settings.penalty(n), now
	}
	return m
}

// Instances returns the names of those that sent a heartbeat within a lease, sorted.
func (m *LeaseManager) Instances() []string { return slices.Sorted(maps.Keys(m.instances)) }

// TimeSinceProgress is how long ago the holder of a role made progress, as far as this lease manager knows.
func (m *LeaseManager) TimeSinceProgress(now Time, role string) Time {
	return now - m.leases[role].lastProgress
}

// HandleHeartbeat takes in a heartbeat that was received at now. It returns the commands to propose and the response, which
// may be sent only once a quorum has confirmed, after now, that this member still leads.
func (m *LeaseManager) HandleHeartbeat(now Time, heartbeat Heartbeat, s *State) ([]Command, HeartbeatResponse) {
	if reason := m.rejectionReason(now, heartbeat); reason != "" {
		return nil, HeartbeatResponse{Reason: reason}
	}
	m.instances[heartbeat.Name] = &instance{heartbeat: heartbeat, receivedAt: now}
	releases := m.handleLeaseReports(now, heartbeat, s)
	return releases, m.response(now, heartbeat, s, releases)
}

// rejectionReason says why an instance is not admitted; empty: it is.
func (m *LeaseManager) rejectionReason(now Time, heartbeat Heartbeat) string {
	known := m.instances[heartbeat.Name]
	switch {
	case known != nil && known.heartbeat.Incarnation != heartbeat.Incarnation &&
		now-known.receivedAt < heartbeatTimeoutLeases*m.settings.LeaseDuration:
		return fmt.Sprintf("another process of the name %s is there, with incarnation %x", heartbeat.Name,
			known.heartbeat.Incarnation)
	case known == nil && len(m.instances) >= MaxInstances:
		return fmt.Sprintf("there are %d instances already", MaxInstances)
	}
	return ""
}

// handleLeaseReports renews the leases whose holder made progress and returns the releases to propose. A report of a lease
// that the instance no longer holds is skipped: the response does not list it, by which the instance learns that it ended.
func (m *LeaseManager) handleLeaseReports(now Time, heartbeat Heartbeat, s *State) (releases []Command) {
	for _, report := range heartbeat.Leases {
		a := s.Assignments[report.Role]
		if a.Token != report.Token || !a.isHeldBy(heartbeat) {
			continue
		}
		if report.Released {
			releases = append(releases, Command{Kind: CommandRelease, Role: report.Role, Token: report.Token,
				Reason: "given back by " + heartbeat.Name})
			continue
		}
		// Progress renews a lease, heartbeats alone do not: a holder that is stuck has to be replaced.
		if l := m.leases[report.Role]; !l.ending && (l.token != report.Token || report.Steps > l.steps) {
			m.leases[report.Role] = lease{token: report.Token, steps: report.Steps, lastProgress: now, notBefore: l.notBefore}
		}
	}
	return releases
}

// response lists the leases that the sender of a heartbeat holds, without those that it has just released.
func (m *LeaseManager) response(now Time, heartbeat Heartbeat, s *State, releases []Command) (response HeartbeatResponse) {
	isReleased := func(role string) bool {
		return slices.ContainsFunc(releases, func(c Command) bool { return c.Role == role })
	}
	for _, role := range slices.Sorted(maps.Keys(s.Assignments)) {
		a := s.Assignments[role]
		if addr := m.holderAddr(a); addr != "" {
			if response.Holders == nil {
				response.Holders = map[string]HolderEndpoint{}
			}
			response.Holders[role] = HolderEndpoint{addr, a.Token}
		}
		if !a.isHeldBy(heartbeat) || isReleased(role) || !m.isRenewable(now, role, s) {
			continue
		}
		response.Leases = append(response.Leases, LeaseRenewal{
			Role:      role,
			Token:     a.Token,
			Remaining: m.settings.LeaseDuration - (now - m.leases[role].lastProgress),
			Release:   m.shouldRelease(now, role, heartbeat, s),
		})
	}
	return response
}

// holderAddr is where other instances reach the holder; empty: nowhere, or it is not known.
func (m *LeaseManager) holderAddr(a Assignment) string {
	if i := m.instances[a.Holder]; i != nil && i.heartbeat.Incarnation == a.Incarnation {
		return i.heartbeat.Addr
	}
	return ""
}

// isRenewable is false where the lease is about to expire. It is also false while this leader's lease duration is not
// committed: the next leader would not know for how long it has to wait until the lease has ended.
func (m *LeaseManager) isRenewable(now Time, role string, s *State) bool {
	l := m.leases[role]
	return l.token == s.Assignments[role].Token && !l.ending && now-l.lastProgress < m.settings.LeaseDuration &&
		s.LeaseDuration >= m.settings.LeaseDuration
}

// shouldRelease says whether the holder that sent the heartbeat should release the role: it is leaving and another instance
// is eligible, or an operator wants another one that is.
func (m *LeaseManager) shouldRelease(now Time, role string, heartbeat Heartbeat, s *State) bool {
	if heartbeat.Leaving && m.chooseHolder(now, role, s, candidateFilter{exclude: heartbeat.Name}) != "" {
		return true
	}
	desired := s.Assignments[role].DesiredHolder
	return desired != "" && desired != heartbeat.Name && m.isEligible(now, desired, role)
}

// Tick returns the commands that are due at now: ends of leases, and grants of the roles that nobody holds.
func (m *LeaseManager) Tick(now Time, s *State) []Command {
	m.removeTimedOutInstances(now)
	commands := m.updatePenalties(now, s)
	commands = append(commands, m.leaseDurationChange(now, s)...)
	granted := map[string]int{} // by instance, in this tick
	for _, role := range m.settings.Roles {
		if s.Assignments[role].Holder != "" {
			commands = append(commands, m.checkLease(now, role, s)...)
		} else {
			commands = append(commands, m.assignRole(now, role, s, granted)...)
		}
	}
	return commands
}

func (m *LeaseManager) removeTimedOutInstances(now Time) {
	for name, i := range m.instances {
		if now-i.receivedAt > heartbeatTimeoutLeases*m.settings.LeaseDuration {
			delete(m.instances, name)
		}
	}
}

// updatePenalties starts the penalty of each instance with a further expiration, and returns the commands that forget the
// expirations of instances that have had none for minExpirationMemory and twice their penalty.
func (m *LeaseManager) updatePenalties(now Time, s *State) (forget []Command) {
	for name, n := range s.Expirations {
		if n > m.seenExpirations[name] {
			m.penalizedUntil[name], m.lastExpiration[name] = now+m.settings.penalty(n), now
		}
		m.seenExpirations[name] = n
		if now-m.lastExpiration[name] > max(minExpirationMemory, 2*m.settings.penalty(n)) {
			forget = append(forget, Command{Kind: CommandForgetExpirations, Instance: name, Reason: "no lease has expired for long"})
		}
	}
	for name := range m.seenExpirations {
		if s.Expirations[name] == 0 {
			delete(m.seenExpirations, name)
			delete(m.penalizedUntil, name)
			delete(m.lastExpiration, name)
		}
	}
	return forget
}

// leaseDurationChange proposes the settings' lease duration: a longer one before any such lease is granted, a shorter one
// once all longer leases have ended. Until it is committed every new leader waits for the longer ones.
func (m *LeaseManager) leaseDurationChange(now Time, s *State) []Command {
	desired := m.settings.LeaseDuration
	if s.LeaseDuration < desired || s.LeaseDuration > desired && now >= m.inheritedLeasesEnd {
		return []Command{{Kind: CommandSetLeaseDuration, LeaseDuration: desired, Reason: "the leader's file says so"}}
	}
	return nil
}

// checkLease expires the lease of a role whose holder made no progress for a lease duration. It proposes that at each tick
// from then on, as a proposal may be lost.
func (m *LeaseManager) checkLease(now Time, role string, s *State) []Command {
	a, l := s.Assignments[role], m.leases[role]
	if l.token != a.Token { // granted just now: the lease starts
		m.leases[role] = lease{token: a.Token, lastProgress: now}
		return nil
	}
	if !l.ending && (now-l.lastProgress < m.settings.LeaseDuration || now < l.notBefore) {
		return nil
	}
	l.ending = true
	m.leases[role] = l
	return []Command{{Kind: CommandExpire, Role: role, Token: a.Token, Reason: m.expiryReason(now, a)}}
}

// assignRole grants a role that nobody holds, or withdraws a desired holder that is not eligible.
func (m *LeaseManager) assignRole(now Time, role string, s *State, granted map[string]int) []Command {
	delete(m.leases, role)
	a := s.Assignments[role]
	if name := m.chooseHolder(now, role, s, candidateFilter{granted: granted}); name != "" {
		granted[name]++
		return []Command{{Kind: CommandGrant, Role: role, Instance: name, Incarnation: m.instances[name].heartbeat.Incarnation,
			Token: a.Token, Reason: "nobody holds it"}}
	}
	if a.DesiredHolder != "" && !m.isEligible(now, a.DesiredHolder, role) {
		return []Command{{Kind: CommandSetDesiredHolder, Role: role, Reason: a.DesiredHolder + " is not there"}}
	}
	return nil
}

// expiryReason says why a lease expired, for the log.
func (m *LeaseManager) expiryReason(now Time, a Assignment) string {
	i := m.instances[a.Holder]
	switch {
	case i == nil:
		return a.Holder + " is silent"
	case i.heartbeat.Incarnation != a.Incarnation:
		return a.Holder + " has started anew"
	case m.isResponsive(now, i):
		return a.Holder + " is there and its work stands still"
	}
	return a.Holder + " is silent"
}

// isHeldBy says whether the sender of a heartbeat, in its present incarnation, holds the role.
func (a Assignment) isHeldBy(heartbeat Heartbeat) bool {
	return a.Holder == heartbeat.Name && a.Incarnation == heartbeat.Incarnation
}
