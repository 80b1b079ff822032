package epoch

import "pumiceline/internal/message"

// Status is a member's view of the coordination group, for operators and tests.
type Status struct {
	IsIssuer  bool
	Issuer    message.Member // as far as this member knows; without an identity: none is known
	Promised  message.Epoch
	Position  message.CoordinationPosition
	Group     message.AcceptorGroup // the newest group that this member knows
	HasIssuer bool                  // it is an issuer with a majority, or the issuer it follows is alive
	IsIdle    bool                  // there have been no calls for a while
	Takeovers int                   // how often this member has become the issuer since its start
	Waiting   int                   // number of watches that wait for an event at this member
}

// Status returns the current status.
func (m *Member) Status() Status {
	status := Status{
		IsIssuer: m.issuer != nil && m.issuer.established, Issuer: m.follower.issuer, Promised: m.record.Promised,
		Position: m.position, Group: m.newestGroup, IsIdle: m.follower.idle, Takeovers: m.takeovers,
		Waiting: len(m.calls.watches), HasIssuer: m.follower.isIssuerAlive(m.now),
	}
	if m.issuer != nil {
		status.Issuer, status.IsIdle = m.options.Self, m.issuer.idle
		status.HasIssuer = m.issuer.hasQuorum(m.now)
	}
	return status
}
