package coordinationclient

import (
	"context"
	"net/http"
	"net/url"
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
// asks under the name of the holder is taken for the holder. The duration is how long a hold lasts without renewal, from 1 ms to
// 10 min; it is cut to whole milliseconds.
func (c *Client) NewLock(name message.LockName, owner message.OwnerName, duration time.Duration) *Lock {
	return &Lock{client: c, name: name, owner: owner, duration: duration.Truncate(time.Millisecond)}
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

// Renew renews a hold that is known by its fencing token only, as after a restart of the owner: it counts from now on. The error
// is ErrLost where it is over.
func (l *Lock) Renew(ctx context.Context, token message.FencingToken) (*Hold, error) {
	sentAt, err := l.renew(ctx, token, time.Time{})
	if err != nil {
		return nil, err
	}
	return l.holdSince(sentAt, token)
}

// renew sends a renewal, until a time at most, and returns when the one that succeeded was sent. The error is ErrLost where
// the lock is lost.
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

// Release gives back a hold that is known by its fencing token. Without an answer others get the lock when its time has passed.
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

// newHold returns the hold that an answer grants.
func (l *Lock) newHold(answer response) (*Hold, error) {
	var granted struct {
		Token message.FencingToken `json:"fenceNo"`
	}
	if err := answer.decode(&granted); err != nil {
		return nil, err
	}
	return l.holdSince(answer.sentAt, granted.Token)
}

// holdSince returns the hold that counts from the sending of a call, unless it is over by now.
func (l *Lock) holdSince(sentAt time.Time, token message.FencingToken) (*Hold, error) {
	hold := &Hold{lock: l, token: token, until: sentAt.Add(l.duration)}
	if !hold.IsHeld() { // the answer came too late
		return nil, errors.Wrapf(ErrLost, "lock %s", l.name)
	}
	return hold, nil
}
