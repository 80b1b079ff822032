package coordinationclient

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// Hold is a lock that is held until a time. It is safe for concurrent use.
type Hold struct {
	lock  *Lock
	token message.FencingToken

	mutex sync.Mutex
	until time.Time // zero: released, or lost to another owner
}

// Token returns the fencing token. The resource that the lock protects should reject tokens below the highest one that
// it has seen.
func (h *Hold) Token() message.FencingToken { return h.token }

// Until returns when the hold ends unless it is renewed, or the zero time if it was released or lost.
func (h *Hold) Until() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.until
}

// IsHeld reports whether the hold has not ended yet.
func (h *Hold) IsHeld() bool { return time.Now().Before(h.Until()) }

// Renew extends the hold to the lock's duration from now on. It repeats the call at most until the hold ends. The error
// is ErrLost if the lock is no longer held; a renewal that is answered after the end of the hold has no effect. After
// any other error the hold ends at Until, as before.
func (h *Hold) Renew(ctx context.Context) error {
	until := h.Until()
	if !time.Now().Before(until) {
		return h.lost()
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	sentAt, err := h.lock.renew(ctx, h.token, until)
	switch {
	case err != nil && (errors.Is(err, ErrLost) || !h.IsHeld()):
		return h.lost()
	case err != nil:
		return err
	}
	return h.extend(sentAt.Add(h.lock.duration))
}

// extend sets a later end, unless the hold has ended in the meantime.
func (h *Hold) extend(until time.Time) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !time.Now().Before(h.until) {
		h.until = time.Time{}
		return errors.Wrapf(ErrLost, "lock %s", h.lock.name)
	}
	if until.After(h.until) {
		h.until = until
	}
	return nil
}

// lost ends the hold and returns ErrLost.
func (h *Hold) lost() error {
	h.end()
	return errors.Wrapf(ErrLost, "lock %s", h.lock.name)
}

func (h *Hold) end() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.until = time.Time{}
}

// Release releases the lock. The hold ends at once, even if an error is returned. If the call is not executed, the lock
// becomes free when the hold expires at the coordinators. A renewal that is in flight has no effect.
func (h *Hold) Release(ctx context.Context) error {
	h.end()
	return h.lock.Release(ctx, h.token)
}
