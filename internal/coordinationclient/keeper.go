package coordinationclient

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// renewalsPerHold is the number of renewals in the duration of a hold. If one fails, there is time for another.
const renewalsPerHold = 3

// Keeper renews a hold in the background until it is lost or released.
type Keeper struct {
	hold   *Hold
	done   chan struct{} // closed when the renewing goroutine ends
	cancel context.CancelFunc
}

// Keep renews the hold in the background until the caller calls Release. If ctx ends, the keeper stops: the hold is not
// renewed any more and expires.
func (h *Hold) Keep(ctx context.Context) *Keeper {
	ctx, cancel := context.WithCancel(ctx)
	k := &Keeper{hold: h, done: make(chan struct{}), cancel: cancel}
	go k.run(ctx)
	return k
}

// Hold returns the hold that the keeper renews.
func (k *Keeper) Hold() *Hold { return k.hold }

// Done returns a channel that is closed when the hold has ended, Release is called or ctx ends. A process that was
// paused sees this late, so check Hold().IsHeld() right before each operation that needs the lock.
func (k *Keeper) Done() <-chan struct{} { return k.done }

// Release stops the renewals and releases the lock, as Hold.Release does.
func (k *Keeper) Release(ctx context.Context) error {
	k.cancel()
	<-k.done
	return k.hold.Release(ctx)
}

// run renews the hold. A renewal call is cancelled when the hold ends, so the end is not noticed late.
func (k *Keeper) run(ctx context.Context) {
	defer close(k.done)
	interval := k.hold.lock.duration / renewalsPerHold
	for k.hold.IsHeld() {
		if !k.wait(ctx, interval) {
			return
		}
		if err := k.hold.Renew(ctx); errors.Is(err, ErrLost) {
			return
		}
	}
}

// wait waits for the interval, or until the hold ends if that is earlier. It returns false if ctx ends first.
func (k *Keeper) wait(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(min(interval, time.Until(k.hold.Until())))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
