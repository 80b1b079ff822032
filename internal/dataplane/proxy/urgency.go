package proxy

import (
	"context"
	"time"

	"pumiceline/internal/controlplane/distribution"
)

// urgentPause bounds how often a missing model is reported.
const urgentPause = 60 * time.Millisecond

// urgency reports to the coordinators at once when a model is missing.
type urgency struct{ signal chan struct{} }

func newUrgency() *urgency { return &urgency{signal: make(chan struct{}, 1)} }

func (u *urgency) raise() {
	select {
	case u.signal <- struct{}{}:
	default:
	}
}

func (u *urgency) run(ctx context.Context, poller *distribution.Poller) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-u.signal:
			poller.PollNow(ctx)
		}
		timer := time.NewTimer(urgentPause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}
