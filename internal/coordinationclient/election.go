package coordinationclient

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/ctxtime"
	"pumiceline/internal/message"
)

// campaignInterval is how often a candidate tries to acquire the leadership while another one holds it.
const campaignInterval = 500 * time.Millisecond

// Election lets one of several candidates lead at a time. It is a lock that the leader keeps renewing.
type Election struct{ lock *Lock }

// NewElection returns the election of a name, for one candidate. The names of candidates must differ. The term is how
// long the leadership lasts without renewal, so a leader that has crashed blocks other candidates for that long. It has
// the same range as the duration of NewLock.
func (c *Client) NewElection(name message.LockName, candidate message.OwnerName, term time.Duration) *Election {
	return &Election{lock: c.NewLock(name, candidate, term)}
}

// Campaign waits until the candidate is the leader. The returned keeper renews the leadership until it is lost, it is
// released with Keeper.Release, or ctx ends. The error is that of ctx, a *RejectedError, or ErrInvalidResponse; after
// any other error Campaign tries again.
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
