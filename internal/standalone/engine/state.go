package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"pumiceline/internal/standalone/policy"
)

// Optional methods of a Policy. If a policy lacks one, the engine does without that feature.
type (
	reconfigurable interface {
		ApplySettings(policy.Settings) error
	}
	snapshotter interface {
		Snapshot() *policy.Snapshot
	}
	restorer interface {
		Restore(policy.Time, *policy.Snapshot) bool
	}
	sizeReporter interface {
		TableSizes() policy.TableSizes
	}
	ejectionReporter interface {
		EjectedServers() int
	}
)

// policy.Balancer, which the proxy uses, has all of them.
var _ interface {
	Policy
	reconfigurable
	snapshotter
	restorer
	sizeReporter
	ejectionReporter
} = (*policy.Balancer)(nil)

// Errors of a policy without an optional method, and of a snapshot that it does not accept.
var (
	ErrNotReconfigurable = errors.New("policy does not support a change of its settings")
	ErrNotRestorable     = errors.New("policy does not support restoring a snapshot")
	ErrStaleSnapshot     = errors.New("snapshot is too old")
	ErrInvalidSnapshot   = errors.New("snapshot has implausible values")
)

// ApplySettings replaces the policy's settings between two events. On an error the current settings stay in force.
func (e *Engine) ApplySettings(next policy.Settings) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.policy.(reconfigurable)
	if !ok {
		return ErrNotReconfigurable
	}
	return p.ApplySettings(next)
}

// Snapshot returns what the policy has learned, as JSON for Restore in another process; nil if the policy has no
// snapshot.
func (e *Engine) Snapshot() ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.policy.(snapshotter)
	if !ok {
		return nil, nil
	}
	text, err := json.Marshal(p.Snapshot())
	if err != nil {
		return nil, fmt.Errorf("write snapshot: %w", err)
	}
	return text, nil
}

// Restore loads a snapshot into the policy if it is at most maxAge old. On an error the policy is unchanged.
func (e *Engine) Restore(text []byte, maxAge time.Duration) error {
	var snapshot policy.Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.policy.(restorer)
	if !ok {
		return ErrNotRestorable
	}
	if age := e.now() - snapshot.At; age > maxAge.Microseconds() {
		return fmt.Errorf("%w: %v", ErrStaleSnapshot, Duration(age))
	}
	if !p.Restore(e.now(), &snapshot) {
		return ErrInvalidSnapshot
	}
	return nil
}

// TableSizes are the numbers of entries in the engine's tables, for the admin API.
type TableSizes struct {
	Calls  int
	Timers int
	Policy policy.TableSizes // zero if the policy does not report them
}

// TableSizes returns how many entries the tables hold now.
func (e *Engine) TableSizes() TableSizes {
	e.mu.Lock()
	defer e.mu.Unlock()
	sizes := TableSizes{Calls: len(e.calls), Timers: len(e.timers)}
	if p, ok := e.policy.(sizeReporter); ok {
		sizes.Policy = p.TableSizes()
	}
	return sizes
}

// EjectedServers returns how many members get no requests because the policy has ejected them as outliers or found them
// stalled; 0 if the policy does not report it.
func (e *Engine) EjectedServers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p, ok := e.policy.(ejectionReporter); ok {
		return p.EjectedServers()
	}
	return 0
}
