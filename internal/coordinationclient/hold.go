package coordinationclient

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// Hold is the time for which a lock is held. Several goroutines may use it.
type Hold struct {
	lock  *Lock
	token message.FencingToken

	mutex sync.Mutex
	until time.Time // zero: released, or lost to another owner
}

// Token returns the fencing token. What the lock protects should reject tokens below the highest that it has seen.
func (h *Hold) Token() message.FencingToken { return h.token }

// Until returns when the hold ends unless it is renewed; the zero time where it was released or is lost.
func (h *Hold) Until() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.until
}

// IsHeld reports whether the hold lasts now.
func (h *Hold) IsHeld() bool { return time.Now().Before(h.Until()) }

// Renew lets the hold last for the lock's duration from now on. It is repeated until the hold ends at most. The error is
// ErrLost where the lock is not held any more; a renewal that was answered after the end counts for nothing. After any other
// error the hold lasts until Until.
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

// extend moves the end, unless the hold is over by now.
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

// lost ends the hold.
func (h *Hold) lost() error {
	h.end()
	return errors.Wrapf(ErrLost, "lock %s", h.lock.name)
}

func (h *Hold) end() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.until = time.Time{}
}

// Release gives the lock back. The hold is over at once, whatever the error; without an answer others get the lock when its
// time has passed. A renewal that is under way counts for nothing.
func (h *Hold) Release(ctx context.Context) error {
	h.end()
	return h.lock.Release(ctx, h.token)
}
