package coordinationclient

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/ctxtime"
	"pumiceline/internal/message"
)

// campaignInterval is how often a candidate asks for the leadership that another one has.
const campaignInterval = 500 * time.Millisecond

// Election lets one of several candidates lead at a time. It is a lock that the leader keeps renewing.
type Election struct{ lock *Lock }

// NewElection returns an election by its name, for one candidate; names of candidates must differ. The term is how long a
// leader that has died still counts as one, as NewLock's duration is.
func (c *Client) NewElection(name message.LockName, candidate message.OwnerName, term time.Duration) *Election {
	return &Election{lock: c.NewLock(name, candidate, term)}
}

// Campaign waits until the candidate leads. The leadership is kept until it is lost or given back with Keeper.Release, or ctx
// ends. The error is that of ctx, a *RejectedError, or ErrInvalidResponse; all others lead to another attempt.
func (e *Election) Campaign(ctx context.Context) (*Keeper, error) {
	for {
		hold, err := e.lock.Acquire(ctx)
		if err == nil {
			return hold.Keep(ctx), nil
		}
		var rejected *RejectedError
		if errors.As(err, &rejected) || errors.Is(err, ErrInvalidResponse) {
			return nil, err
		}
		if err := ctxtime.Sleep(ctx, campaignInterval); err != nil {
			return nil, err
		}
	}
}
