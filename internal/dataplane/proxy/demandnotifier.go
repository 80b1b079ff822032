package proxy

import (
	"context"
	"time"

	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/ctxtime"
)

// minNotifyInterval is the minimum time between two polls that are triggered by unmet demand.
const minNotifyInterval = 60 * time.Millisecond

// demandNotifier reports demand to the coordinators at once when a request waits for a model that no backend has
// loaded. Without it the report would wait for the next regular poll.
type demandNotifier struct {
	pending chan struct{} // holds a value while a report is requested; its capacity is 1
}

func newDemandNotifier() *demandNotifier { return &demandNotifier{pending: make(chan struct{}, 1)} }

// notify requests a report. It does not block. Several calls before the report result in one report.
func (n *demandNotifier) notify() {
	select {
	case n.pending <- struct{}{}:
	default:
	}
}

// run sends the requested reports until ctx ends.
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
