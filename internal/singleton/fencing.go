package singleton

import "fmt"

// Effect identifies an effect of a role on a system outside the fleet. A receiver accepts it only if it has accepted no
// newer one.
type Effect struct {
	Role   string       `json:"work"`
	Token  FencingToken `json:"token"`
	Serial uint64       `json:"serial"` // from 1, in the order in which the token's holder sent them
}

// isNewerThan orders the effects of one role.
func (e Effect) isNewerThan(other Effect) bool {
	return e.Token > other.Token || e.Token == other.Token && e.Serial > other.Serial
}

// FencingGuard remembers, at a receiver of effects, the latest effect of each role. It belongs where the effects are stored
// and has to last as long as they do. Its JSON form is what to store.
type FencingGuard struct {
	Latest map[string]Effect `json:"known"` // by role
}

// StaleEffectError is the error of an effect that arrived after a newer one, or again.
type StaleEffectError struct {
	Effect Effect
	Latest Effect
}

// Error names both tokens, so that the sender's log shows by whom it was replaced.
func (e *StaleEffectError) Error() string {
	return fmt.Sprintf("%s: token %d, serial %d comes after token %d, serial %d", e.Effect.Role,
		e.Effect.Token, e.Effect.Serial, e.Latest.Token, e.Latest.Serial)
}

// Admit returns nil for an effect that may be carried out, and remembers it. The error of one that may not is a
// *StaleEffectError, or ErrTooManyRoles where it is of a new role and MaxRoles are remembered.
func (g *FencingGuard) Admit(e Effect) error {
	latest, known := g.Latest[e.Role]
	switch {
	case !known && len(g.Latest) >= MaxRoles:
		return fmt.Errorf("effect of role %s besides %d others: %w", e.Role, MaxRoles, ErrTooManyRoles)
	case !e.isNewerThan(latest):
		return &StaleEffectError{Effect: e, Latest: latest}
	}
	if g.Latest == nil {
		g.Latest = map[string]Effect{}
	}
	g.Latest[e.Role] = e
	return nil
}
