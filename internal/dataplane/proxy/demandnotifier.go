package proxy

import (
	"context"
	"time"

	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/ctxtime"
)

// minNotifyInterval is the least time between two polls for unmet demand.
const minNotifyInterval = 60 * time.Millisecond

// demandNotifier reports demand to the coordinators at once when a request waits for a model that no backend has
// loaded.
type demandNotifier struct {
	pending chan struct{} // has a value while a report is asked for; its capacity is 1
}

func newDemandNotifier() *demandNotifier { return &demandNotifier{pending: make(chan struct{}, 1)} }

// notify asks for a report. It does not wait; several calls before the report are one.
func (n *demandNotifier) notify() {
	select {
	case n.pending <- struct{}{}:
	default:
	}
}

// run reports until ctx ends.
func (n *demandNotifier) run(ctx context.Context, poller *distribution.Poller) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.pending:
			poller.PollNow(ctx)
		}
		_ = ctxtime.Sleep(ctx, minNotifyInterval) // the select above checks ctx
	}
}
