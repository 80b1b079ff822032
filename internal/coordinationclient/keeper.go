package coordinationclient

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// renewalsPerHold is how many renewals fit into the duration of a hold: one that fails leaves time for another.
const renewalsPerHold = 3

// Keeper renews a hold in the background until it is lost or released.
type Keeper struct {
	hold   *Hold
	over   chan struct{} // closed by the goroutine when it ends
	cancel context.CancelFunc
}

// Keep renews the hold in the background. The caller ends that with Release. Where ctx ends the keeper is over; the hold is
// renewed no more and runs out.
func (h *Hold) Keep(ctx context.Context) *Keeper {
	ctx, cancel := context.WithCancel(ctx)
	k := &Keeper{hold: h, over: make(chan struct{}), cancel: cancel}
	go k.run(ctx)
	return k
}

// Hold returns the hold that is kept.
func (k *Keeper) Hold() *Hold { return k.hold }

// Over returns a channel that is closed when the hold is over. A process that was frozen sees it late: ask Hold().IsHeld()
// right before what must not be done without the lock.
func (k *Keeper) Over() <-chan struct{} { return k.over }

// Release ends the renewals and gives the lock back, as Hold.Release does.
func (k *Keeper) Release(ctx context.Context) error {
	k.cancel()
	<-k.over
	return k.hold.Release(ctx)
}

// run renews the hold. A renewal lasts no longer than the hold, so the end is not noticed late.
func (k *Keeper) run(ctx context.Context) {
	defer close(k.over)
	interval := k.hold.lock.duration / renewalsPerHold
	for k.hold.IsHeld() {
		if !k.rest(ctx, interval) {
			return
		}
		if err := k.hold.Renew(ctx); errors.Is(err, ErrLost) {
			return
		}
	}
}

// rest waits for a time, or to the end of the hold. It returns false where ctx ends.
func (k *Keeper) rest(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(min(interval, time.Until(k.hold.Until())))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
