package coordinator

import (
	"pumiceline/internal/controlplane/relay"
)

// CoordinationStatus is how a coordinator sees the coordination of applications.
type CoordinationStatus struct {
	IsIssuer       bool        `json:"issues"`         // it decides the calls of applications
	Issuer         string      `json:"issuer"`         // internal address of the one that does; empty: not known
	Epoch          uint64      `json:"epoch"`          // counter of the newest epoch that it has promised
	Group          uint64      `json:"group"`          // number of the newest group of acceptors that it knows
	Acceptors      []string    `json:"acceptors"`      // "identity address" each
	Takeovers      int         `json:"takeovers"`      // how often it became the issuer since its start
	WaitingWatches int         `json:"waitingWatches"` // at the issuer
	IsIdle         bool        `json:"idle"`           // there have been no calls for a while
	Relay          relay.Stats `json:"relay"`          // of the calls that applications made here
}

// describe returns the status for operators; nil before the first step.
func (l *coordinationLoop) describe() *CoordinationStatus {
	s := l.status.Load()
	if s == nil {
		return nil
	}
	return &CoordinationStatus{
		IsIssuer: s.IsIssuer, Issuer: s.Issuer.Address, Epoch: s.Promised.Counter, Group: s.Group.Number,
		Acceptors: describeMembers(s.Group.Acceptors), Takeovers: s.Takeovers, WaitingWatches: s.Waiting, IsIdle: s.IsIdle,
		Relay: l.relay.Stats(),
	}
}
