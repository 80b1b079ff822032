package singleton

import "fmt"

// Effect identifies an effect of a role on a system outside the fleet. A receiver accepts it only if it is newer than
// every effect of the role that the receiver has accepted.
type Effect struct {
	Role   string       `json:"work"`
	Token  FencingToken `json:"token"`
	Serial uint64       `json:"serial"` // from 1, in the order in which the token's holder sent them
}

// isNewerThan reports whether e comes after other, an effect of the same role.
func (e Effect) isNewerThan(other Effect) bool {
	return e.Token > other.Token || e.Token == other.Token && e.Serial > other.Serial
}

// FencingGuard records, at a receiver of effects, the latest effect of each role. Store it, in its JSON form, together
// with the effects, and keep it as long as they are kept: a lost guard would accept late effects of former holders
// again.
type FencingGuard struct {
	Latest map[string]Effect `json:"known"` // by role
}

// StaleEffectError is the error of an effect that arrived after a newer one, or a second time.
type StaleEffectError struct {
	Effect Effect
	Latest Effect
}

// Error names both tokens, so that the sender's log shows which token replaced its own.
func (e *StaleEffectError) Error() string {
	return fmt.Sprintf("%s: token %d, serial %d comes after token %d, serial %d", e.Effect.Role,
		e.Effect.Token, e.Effect.Serial, e.Latest.Token, e.Latest.Serial)
}

// Admit records an effect that may be carried out and returns nil. Otherwise it returns a *StaleEffectError, or
// ErrTooManyRoles if the effect is of a new role and MaxRoles roles are recorded.
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
