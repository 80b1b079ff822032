package singleton

import (
	"fmt"
	"maps"
	"slices"
)

// LeaseManager grants roles and expires leases at the leader. It knows instances and their progress only from the
// heartbeats that it has received itself: a new leader starts without this knowledge, and counts every lease as just
// renewed.
type LeaseManager struct {
	settings           Settings
	instances          map[string]*instance // by name
	leases             map[string]lease     // by role
	penalizedUntil     map[string]Time      // by instance, until when it is granted nothing
	seenExpirations    map[string]int       // by instance, as of the latest tick, to detect a further expiration
	lastExpiration     map[string]Time      // by instance with expirations
	inheritedLeasesEnd Time                 // by then every lease granted by an earlier leader has ended
}

// instance is a process that sends heartbeats.
type instance struct {
	heartbeat  Heartbeat // the latest
	receivedAt Time
}

// lease is the state of a lease that the Assignment does not contain.
type lease struct {
	token        FencingToken
	steps        uint64
	lastProgress Time
	notBefore    Time // it does not expire earlier: an earlier leader with a longer lease duration may have granted it
	ending       bool // its expiration was proposed and may already be in the log: it must no longer be renewed
}

// NewLeaseManager returns the lease manager of a member that starts to lead at now. The state must include every
// command that was committed under earlier leaders.
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
	for name, n := range s.Expirations { // the state does not record when they happened: the penalty starts again
		m.seenExpirations[name], m.penalizedUntil[name], m.lastExpiration[name] = n, now+settings.penalty(n), now
	}
	return m
}

// Instances returns the sorted names of the instances that sent a heartbeat within the last lease duration.
func (m *LeaseManager) Instances() []string { return slices.Sorted(maps.Keys(m.instances)) }

// TimeSinceProgress returns how long ago the holder of a role made progress, as far as this lease manager knows.
func (m *LeaseManager) TimeSinceProgress(now Time, role string) Time {
	return now - m.leases[role].lastProgress
}

// HandleHeartbeat processes a heartbeat that was received at now. It returns the commands to propose and the response,
// which may be sent only once a quorum has confirmed, after now, that this member still leads.
func (m *LeaseManager) HandleHeartbeat(now Time, heartbeat Heartbeat, s *State) ([]Command, HeartbeatResponse) {
	if reason := m.rejectionReason(now, heartbeat); reason != "" {
		return nil, HeartbeatResponse{Reason: reason}
	}
	m.instances[heartbeat.Name] = &instance{heartbeat: heartbeat, receivedAt: now}
	releases := m.handleLeaseReports(now, heartbeat, s)
	return releases, m.response(now, heartbeat, s, releases)
}

// rejectionReason returns why an instance is not admitted, or an empty string if it is admitted.
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

// handleLeaseReports renews the leases whose holder made progress and returns the releases to propose. It skips the
// report of a lease that the instance no longer holds: the response does not list that lease, which tells the instance
// that it ended.
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
		// Progress renews a lease, heartbeats alone do not: a stuck holder has to be replaced.
		if l := m.leases[report.Role]; !l.ending && (l.token != report.Token || report.Steps > l.steps) {
			m.leases[report.Role] = lease{token: report.Token, steps: report.Steps, lastProgress: now, notBefore: l.notBefore}
		}
	}
	return releases
}

// response returns the response to a heartbeat. It lists the leases that the sender holds and that may be renewed,
// without those that it has just released.
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

// holderAddr returns the address at which other instances reach the holder, or an empty string if it has none or the
// address is not known.
func (m *LeaseManager) holderAddr(a Assignment) string {
	if i := m.instances[a.Holder]; i != nil && i.heartbeat.Incarnation == a.Incarnation {
		return i.heartbeat.Addr
	}
	return ""
}

// isRenewable reports whether a response may renew a role's lease. It may not if the lease is ending or has run out, or
// if this lease manager does not track the current token yet. It also may not while this leader's lease duration is not
// committed: the next leader would not know how long it has to wait until the lease has ended.
func (m *LeaseManager) isRenewable(now Time, role string, s *State) bool {
	l := m.leases[role]
	return l.token == s.Assignments[role].Token && !l.ending && now-l.lastProgress < m.settings.LeaseDuration &&
		s.LeaseDuration >= m.settings.LeaseDuration
}

// shouldRelease reports whether the holder that sent the heartbeat should release the role: either it is leaving and
// another instance is eligible, or an operator has set another desired holder, which is eligible.
func (m *LeaseManager) shouldRelease(now Time, role string, heartbeat Heartbeat, s *State) bool {
	if heartbeat.Leaving && m.chooseHolder(now, role, s, candidateFilter{exclude: heartbeat.Name}) != "" {
		return true
	}
	desired := s.Assignments[role].DesiredHolder
	return desired != "" && desired != heartbeat.Name && m.isEligible(now, desired, role)
}

// Tick returns the commands that are due at now: expirations of leases, grants of roles without a holder, and changes
// of expiration counts, desired holders and the lease duration.
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

// updatePenalties starts the penalty of each instance with a further expiration. It returns the commands that reset the
// expirations of instances whose latest expiration is longer ago than minExpirationRetention and than twice their
// penalty.
func (m *LeaseManager) updatePenalties(now Time, s *State) (resets []Command) {
	for name, n := range s.Expirations {
		if n > m.seenExpirations[name] {
			m.penalizedUntil[name], m.lastExpiration[name] = now+m.settings.penalty(n), now
		}
		m.seenExpirations[name] = n
		if now-m.lastExpiration[name] > max(minExpirationRetention, 2*m.settings.penalty(n)) {
			resets = append(resets, Command{Kind: CommandResetExpirations, Instance: name,
				Reason: "no lease has expired for long"})
		}
	}
	for name := range m.seenExpirations {
		if s.Expirations[name] == 0 {
			delete(m.seenExpirations, name)
			delete(m.penalizedUntil, name)
			delete(m.lastExpiration, name)
		}
	}
	return resets
}

// leaseDurationChange returns the command that sets the lease duration to that of the settings, if it is due: a longer
// one before any such lease is granted, a shorter one once all longer leases have ended. Until a shorter one is
// committed, every new leader waits for the longer leases to end.
func (m *LeaseManager) leaseDurationChange(now Time, s *State) []Command {
	desired := m.settings.LeaseDuration
	if s.LeaseDuration < desired || s.LeaseDuration > desired && now >= m.inheritedLeasesEnd {
		return []Command{{Kind: CommandSetLeaseDuration, LeaseDuration: desired, Reason: "the leader's file says so"}}
	}
	return nil
}

// checkLease returns the command that expires the lease of a role whose holder made no progress for a lease duration.
// From then on it returns the command at each tick, as a proposal may be lost.
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

// assignRole grants a role that has no holder. If no instance is eligible, it withdraws a desired holder that is not
// eligible.
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

// expiryReason returns why a lease expired, for the log.
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

// isHeldBy reports whether the sender of a heartbeat, in its present incarnation, holds the role.
func (a Assignment) isHeldBy(heartbeat Heartbeat) bool {
	return a.Holder == heartbeat.Name && a.Incarnation == heartbeat.Incarnation
}
