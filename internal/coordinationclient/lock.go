package coordinationclient

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// Lock is a named lock, used on behalf of one owner. It is safe for concurrent use.
type Lock struct {
	client   *Client
	name     message.LockName
	owner    message.OwnerName
	duration time.Duration
}

// NewLock returns the lock of a name. The owner must be unique to the process and to each use of the lock: a caller
// with the name of the holder is granted the lock as the holder. The duration is how long a hold lasts without renewal,
// from 1 ms to 10 min; it is truncated to whole milliseconds.
func (c *Client) NewLock(name message.LockName, owner message.OwnerName, duration time.Duration) *Lock {
	return &Lock{client: c, name: name, owner: owner, duration: duration.Truncate(time.Millisecond)}
}

// lockBody is the body of all calls of a lock; each call sets the fields that it needs.
type lockBody struct {
	Owner  message.OwnerName     `json:"owner"`
	Token  *message.FencingToken `json:"fenceNo,omitempty"`
	HoldMs int64                 `json:"holdMs,omitempty"`
}

func (l *Lock) path() string { return "/locks/" + url.PathEscape(string(l.name)) }

// Acquire acquires the lock. If this owner holds it already, the hold is extended and gets a new fencing token. The
// error is ErrHeld if another owner holds the lock. After ErrOutcomeUnknown the lock may be held until the duration has
// passed.
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

// Renew renews a hold of which only the fencing token is known, for example after a restart of the owner. The error is
// ErrLost if the hold has ended.
func (l *Lock) Renew(ctx context.Context, token message.FencingToken) (*Hold, error) {
	sentAt, err := l.renew(ctx, token, time.Time{})
	if err != nil {
		return nil, err
	}
	return l.holdSince(sentAt, token)
}

// renew sends a renewal, repeats it at most until the given time, and returns when the successful attempt was sent. The
// error is ErrLost if the lock is no longer held.
func (l *Lock) renew(ctx context.Context, token message.FencingToken, until time.Time) (time.Time, error) {
	body := lockBody{Owner: l.owner, Token: &token, HoldMs: l.duration.Milliseconds()}
	answer, err := l.client.do(ctx, request{method: http.MethodPut, path: l.path(), body: body, until: until})
	switch {
	case err != nil:
		return time.Time{}, err
	case answer.status == http.StatusConflict:
		return time.Time{}, errors.Wrapf(ErrLost, "lock %s", l.name)
	case answer.status != http.StatusOK:
		return time.Time{}, answer.rejected()
	}
	return answer.sentAt, nil
}

// Release releases a hold of which only the fencing token is known. If the call is not executed, the lock becomes free
// when the hold expires.
func (l *Lock) Release(ctx context.Context, token message.FencingToken) error {
	body := lockBody{Owner: l.owner, Token: &token}
	answer, err := l.client.do(ctx, request{method: http.MethodDelete, path: l.path(), body: body})
	switch {
	case err != nil:
		return err
	case answer.status != http.StatusOK:
		return answer.rejected()
	}
	return nil
}

// newHold returns the hold that a response grants.
func (l *Lock) newHold(answer response) (*Hold, error) {
	var granted struct {
		Token message.FencingToken `json:"fenceNo"`
	}
	if err := answer.decode(&granted); err != nil {
		return nil, err
	}
	return l.holdSince(answer.sentAt, granted.Token)
}

// holdSince returns the hold of a call that was sent at sentAt, or ErrLost if its duration has passed already.
func (l *Lock) holdSince(sentAt time.Time, token message.FencingToken) (*Hold, error) {
	hold := &Hold{lock: l, token: token, until: sentAt.Add(l.duration)}
	if !hold.IsHeld() { // the answer arrived after the end of the hold
		return nil, errors.Wrapf(ErrLost, "lock %s", l.name)
	}
	return hold, nil
}
