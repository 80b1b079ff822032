package coordinationclient

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/ctxtime"
	"pumiceline/internal/message"
)

const (
	// watchWait is how long one request of a watch waits for an event.
	watchWait = 2 * time.Second
	// emptyGroupInterval is how often a group without any put is polled.
	emptyGroupInterval = 500 * time.Millisecond
)

// Event is a put that took effect.
type Event struct {
	Key      message.KeyName  `json:"name"`
	Value    string           `json:"value"`
	Revision message.Revision `json:"revision"`
}

// Batch is one report of a watch.
type Batch struct {
	// Events are all puts after the revision of the previous batch, up to and including Revision, in order of revision.
	Events   []Event          `json:"events"`
	Revision message.Revision `json:"revision"` // from which NewWatch can resume
	// IsReset means that puts up to Revision may be missing, so the keys have to be read again. It is set in the first
	// batch of a watch that starts from 0, and after the coordinators have dropped the events that the watch had to report
	// next.
	IsReset bool `json:"reset,omitempty"`
}

// Watch reports the puts to a group of keys. It is not safe for concurrent use.
type Watch struct {
	client   *Client
	group    message.KeyGroup
	revision message.Revision
	isStale  bool // events after revision have been dropped
}

// NewWatch returns a watch of a group. The name of a group is the part of its keys' names up to and including the first
// dot. The watch reports the puts after a revision; with 0 it starts at the current revision.
func (c *Client) NewWatch(group message.KeyGroup, after message.Revision) *Watch {
	return &Watch{client: c, group: group, revision: after}
}

// Next waits for events, or for a reset of the watch, and returns them. It retries after failures of coordinators; the
// error is that of ctx, a *RejectedError or ErrInvalidResponse.
func (w *Watch) Next(ctx context.Context) (Batch, error) {
	for ctx.Err() == nil {
		batch, err := w.poll(ctx)
		switch {
		case errors.Is(err, ErrNotExecuted) || errors.Is(err, ErrOutcomeUnknown):
			// poll again at once: the client has paused between its attempts
		case err != nil:
			return Batch{}, err
		case batch.IsReset && batch.Revision == 0: // the group has no key yet
			if err := ctxtime.Sleep(ctx, emptyGroupInterval); err != nil {
				return Batch{}, err
			}
		case batch.IsReset || len(batch.Events) > 0:
			return batch, nil
		}
	}
	return Batch{}, ctx.Err()
}

// poll sends one watch request.
func (w *Watch) poll(ctx context.Context) (Batch, error) {
	after := w.revision
	if w.isStale {
		after = 0
	}
	path := fmt.Sprintf("/watch/%s?after=%d&waitMs=%d", url.PathEscape(string(w.group)), after, watchWait.Milliseconds())
	answer, err := w.client.do(ctx, request{method: http.MethodGet, path: path, wait: watchWait})
	switch {
	case err != nil:
		return Batch{}, err
	case answer.status == http.StatusGone:
		w.isStale = true
		return Batch{}, nil
	case answer.status != http.StatusOK:
		return Batch{}, answer.rejected()
	}
	var batch Batch
	if err := answer.decode(&batch); err != nil {
		return Batch{}, err
	}
	batch.IsReset = after == 0
	w.revision, w.isStale = batch.Revision, false
	return batch, nil
}
