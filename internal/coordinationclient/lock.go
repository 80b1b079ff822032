package coordinationclient

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// Lock is a lock as one owner uses it. Several goroutines may use it.
type Lock struct {
	client   *Client
	name     message.LockName
	owner    message.OwnerName
	duration time.Duration
}

// NewLock returns a lock by its name. The owner must differ from that of each other process and each other use of the lock: who
// asks under the name of the holder is taken for the holder. The duration is how long a hold lasts without renewal, in whole
// milliseconds, from 1 ms to 10 min.
func (c *Client) NewLock(name message.LockName, owner message.OwnerName, duration time.Duration) *Lock {
	return &Lock{client: c, name: name, owner: owner, duration: duration}
}

// lockBody is the body of the calls of a lock. Its fields are the union of theirs.
type lockBody struct {
	Owner  message.OwnerName     `json:"owner"`
	Token  *message.FencingToken `json:"fenceNo,omitempty"`
	HoldMs int64                 `json:"holdMs,omitempty"`
}

func (l *Lock) path() string { return "/locks/" + url.PathEscape(string(l.name)) }

// Acquire takes the lock, or takes it again with more time and a new fencing token where this owner holds it. The error is
// ErrHeld where another owner has it. After ErrOutcomeUnknown it may be held until the duration has passed.
func (l *Lock) Acquire(ctx context.Context) (*Hold, error) {
	answer, err := l.client.do(ctx, request{
		method: http.MethodPost, path: l.path(), body: lockBody{Owner: l.owner, HoldMs: l.duration.Milliseconds()},
	})
	if err != nil {
		return nil, err
	}
	switch answer.status {
	case http.StatusOK:
		return l.newHold(answer)
	case http.StatusConflict:
		return nil, errors.Wrapf(ErrHeld, "lock %s", l.name)
	}
	return nil, answer.rejected()
}

// newHold returns the hold that an answer grants.
func (l *Lock) newHold(answer response) (*Hold, error) {
	var granted struct {
		Token message.FencingToken `json:"fenceNo"`
	}
	if err := answer.decode(&granted); err != nil {
		return nil, err
	}
	hold := &Hold{lock: l, token: granted.Token, until: answer.sentAt.Add(l.duration)}
	if !hold.IsHeld() { // the answer came too late
		return nil, errors.Wrapf(ErrLost, "lock %s", l.name)
	}
	return hold, nil
}

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
	body := lockBody{Owner: h.lock.owner, Token: &h.token, HoldMs: h.lock.duration.Milliseconds()}
	answer, err := h.lock.client.do(ctx, request{method: http.MethodPut, path: h.lock.path(), body: body, until: until})
	switch {
	case err != nil && !h.IsHeld():
		return h.lost()
	case err != nil:
		return err
	case answer.status == http.StatusConflict:
		return h.lost()
	case answer.status != http.StatusOK:
		return answer.rejected()
	}
	return h.extend(answer.sentAt.Add(h.lock.duration))
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
// time has passed. Renewals must have returned.
func (h *Hold) Release(ctx context.Context) error {
	h.end()
	body := lockBody{Owner: h.lock.owner, Token: &h.token}
	answer, err := h.lock.client.do(ctx, request{method: http.MethodDelete, path: h.lock.path(), body: body})
	switch {
	case err != nil:
		return err
	case answer.status != http.StatusOK:
		return answer.rejected()
	}
	return nil
}
