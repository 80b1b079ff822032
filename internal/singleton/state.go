package singleton

import (
	"encoding/json"
	"errors"
	"fmt"
)

// State is the result of all commands of the replicated log so far. It is the same at every member that has applied the
// same number of them. Its JSON form is the snapshot that is stored.
type State struct {
	Assignments   map[string]Assignment `json:"works"`            // by role
	Expirations   map[string]int        `json:"lapses,omitempty"` // by instance, how many of its leases expired
	LeaseDuration Time                  `json:"lease,omitempty"`  // the longest lease that the leader may have granted
}

// Assignment is the agreed state of a role.
type Assignment struct {
	Token         FencingToken `json:"token"`           // of the last holder; grows with each grant and never falls
	Holder        string       `json:"owner,omitempty"` // instance that holds the lease; empty: none
	Incarnation   Incarnation  `json:"life,omitempty"`  // of the holder
	DesiredHolder string       `json:"want,omitempty"`  // instance that an operator wants as the next holder
}

// FencingToken numbers the grants of a role. A receiver rejects an effect with a lower token than it has seen.
type FencingToken uint64

// Incarnation distinguishes the processes that ran under one instance's name. Each process draws its own at random.
type Incarnation uint64

// CommandKind is the operation of a command. The values are stored.
type CommandKind string

// The kinds of commands.
const (
	// CommandGrant gives the role to Instance, if the role's token is still Token.
	CommandGrant CommandKind = "grant"
	// CommandExpire ends the lease of the holder with Token, which made no progress, and counts the expiration.
	CommandExpire CommandKind = "expire"
	// CommandRelease ends the lease of the holder with Token: the holder released it, or an operator revoked it.
	CommandRelease CommandKind = "free"
	// CommandSetDesiredHolder records that an operator wants Instance to hold the role. An empty Instance withdraws
	// that.
	CommandSetDesiredHolder CommandKind = "want"
	// CommandResetExpirations resets the count of Instance's expirations.
	CommandResetExpirations CommandKind = "spare"
	// CommandSetLeaseDuration allows this leader and later ones to grant leases of up to LeaseDuration.
	CommandSetLeaseDuration CommandKind = "term"
)

// Command is an entry of the replicated log. Its JSON form is stored.
type Command struct {
	Kind          CommandKind  `json:"kind"`
	Role          string       `json:"work,omitempty"`
	Instance      string       `json:"who,omitempty"`
	Incarnation   Incarnation  `json:"life,omitempty"`
	Token         FencingToken `json:"token,omitempty"`
	LeaseDuration Time         `json:"lease,omitempty"`
	Reason        string       `json:"why,omitempty"` // for the log
}

var (
	// ErrStaleToken is the error of a command about a holder that has been replaced or has no lease any more.
	ErrStaleToken = errors.New("the token is no longer the role's latest")
	// ErrUnknownCommand is the error of a command of a kind that this build does not know.
	ErrUnknownCommand = errors.New("unknown kind of command")
	// ErrTooManyRoles is the error of a command for a new role when the state already has MaxRoles.
	ErrTooManyRoles = errors.New("too many roles")
)

// NewState returns the state before the first command.
func NewState() *State {
	return &State{Assignments: map[string]Assignment{}, Expirations: map[string]int{}}
}

// DecodeState decodes a snapshot.
func DecodeState(text []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("decode snapshot of assignments: %w", err)
	}
	return s, nil
}

// Apply carries out a command. A leader proposes commands again that may have been lost: a grant, expiration or release
// that was applied before, or whose precondition no longer holds, changes nothing and returns ErrStaleToken. With
// ErrUnknownCommand and ErrTooManyRoles nothing changes either: the result has to be the same at all members, also at
// those of an older build.
func (s *State) Apply(c Command) error {
	switch c.Kind {
	case CommandGrant:
		return s.applyGrant(c)
	case CommandExpire, CommandRelease:
		return s.applyLeaseEnd(c)
	case CommandSetDesiredHolder:
		a := s.Assignments[c.Role]
		a.DesiredHolder = c.Instance
		return s.put(c.Role, a)
	case CommandResetExpirations:
		delete(s.Expirations, c.Instance)
		return nil
	case CommandSetLeaseDuration:
		s.LeaseDuration = c.LeaseDuration
		return nil
	default:
		return fmt.Errorf("command %q: %w", c.Kind, ErrUnknownCommand)
	}
}

// applyGrant gives the new holder the next token. If the new holder is the desired one, the desired holder is cleared.
func (s *State) applyGrant(c Command) error {
	a := s.Assignments[c.Role]
	if a.Token != c.Token {
		return staleToken(c, a)
	}
	granted := Assignment{Token: a.Token + 1, Holder: c.Instance, Incarnation: c.Incarnation, DesiredHolder: a.DesiredHolder}
	if granted.DesiredHolder == c.Instance {
		granted.DesiredHolder = ""
	}
	return s.put(c.Role, granted)
}

// applyLeaseEnd removes the holder but keeps the role's token: the next grant takes a higher one.
func (s *State) applyLeaseEnd(c Command) error {
	a := s.Assignments[c.Role]
	if a.Token != c.Token || a.Holder == "" {
		return staleToken(c, a)
	}
	if c.Kind == CommandExpire {
		s.countExpiration(a.Holder)
	}
	a.Holder, a.Incarnation = "", 0
	return s.put(c.Role, a)
}

func (s *State) countExpiration(instance string) {
	if s.Expirations[instance] > 0 || len(s.Expirations) < maxTrackedInstances {
		s.Expirations[instance] = min(s.Expirations[instance]+1, maxExpirationCount)
	}
}

// put stores an assignment, unless its role is new and exceeds MaxRoles.
func (s *State) put(role string, a Assignment) error {
	if s.Assignments[role] = a; len(s.Assignments) > MaxRoles {
		delete(s.Assignments, role)
		return fmt.Errorf("role %s besides %d others: %w", role, MaxRoles, ErrTooManyRoles)
	}
	return nil
}

func staleToken(c Command, a Assignment) error {
	return fmt.Errorf("%s role %s: token %d of %d: %w", c.Kind, c.Role, c.Token, a.Token, ErrStaleToken)
}
