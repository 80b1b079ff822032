package coordinator

import (
	"pumiceline/internal/controlplane/relay"
)

// CoordinationStatus is the state of the coordination of applications as one coordinator knows it.
type CoordinationStatus struct {
	IsIssuer       bool        `json:"issues"`         // it is the issuer, which decides the calls of applications
	Issuer         string      `json:"issuer"`         // internal address of the issuer; empty: not known
	Epoch          uint64      `json:"epoch"`          // counter of the newest epoch that this coordinator has promised
	Group          uint64      `json:"group"`          // number of the newest group of acceptors that it knows
	Acceptors      []string    `json:"acceptors"`      // "identity address" of each
	Takeovers      int         `json:"takeovers"`      // how often this coordinator became the issuer since its start
	WaitingWatches int         `json:"waitingWatches"` // watches that wait at this coordinator, if it is the issuer
	IsIdle         bool        `json:"idle"`           // there have been no calls for a while
	Relay          relay.Stats `json:"relay"`          // figures on the calls received from applications
}

// describe returns the status for operators, or nil before the first step.
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
