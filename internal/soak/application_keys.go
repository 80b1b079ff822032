package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"pumiceline/internal/ctxtime"
)

// Keys, their groups, and names for numbers.
const (
	numberCount        = 2
	groupCount         = 2
	keyCount           = 8                      // keys in each group
	putTimeout         = 4 * time.Second        // a put without a clear answer is repeated for this long
	savedRevisionCount = 4                      // number of latest revisions from which a watcher may resume
	callPause          = 120 * time.Millisecond // longest pause between calls of an application
)

// numberCaller is an application that takes numbers.
type numberCaller struct{ *applicationCaller }

func (c numberCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.take(ctx, c.randomName("n", numberCount), false)
		c.pause(ctx, 0, callPause)
	}
}

// take makes one call for a number. It reports whether the call succeeded.
func (c numberCaller) take(ctx context.Context, name string, isFinal bool) bool {
	got := c.call(ctx, http.MethodPost, "/numbers/"+name, applicationBody{})
	number := NumberCall{Name: name, SentAt: got.sentAt, EndedAt: got.endedAt, Status: got.status, IsFinal: isFinal}
	if got.status == http.StatusOK && json.Unmarshal(got.body.Value, &number.Value) != nil {
		number.Value = 0 // below all other numbers, so that checkNumbers reports it
	}
	c.record(func(h *ApplicationHistory) { h.Numbers = append(h.Numbers, number) })
	return got.status == http.StatusOK
}

// keyCaller is an application that reads keys, and puts them conditionally on the latest revision that it has seen.
type keyCaller struct {
	*applicationCaller
	number int
	puts   int
	known  map[string]uint64 // revision by key
}

func newKeyCaller(c *applicationCaller, number int) *keyCaller {
	return &keyCaller{applicationCaller: c, number: number, known: map[string]uint64{}}
}

func (c *keyCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		key := c.randomName("g", groupCount) + "." + c.randomName("k", keyCount)
		if c.oneIn(2) {
			c.get(ctx, key, false)
		} else {
			c.put(ctx, key)
		}
		c.pause(ctx, 0, callPause)
	}
}

// get makes one call for a key. It reports whether the answer was a 200 or a 404.
func (c *keyCaller) get(ctx context.Context, key string, isFinal bool) bool {
	got := c.call(ctx, http.MethodGet, "/cells/"+key, applicationBody{})
	read := Get{Key: key, Revision: got.body.Revision, SentAt: got.sentAt, EndedAt: got.endedAt, Status: got.status, IsFinal: isFinal}
	if got.status == http.StatusOK && json.Unmarshal(got.body.Value, &read.Value) != nil {
		read.Value = string(got.body.Value) // no caller put this value, so checkKeys reports it
	}
	c.record(func(h *ApplicationHistory) { h.Gets = append(h.Gets, read) })
	if !isAnswerOfGet(got.status) {
		return false
	}
	c.known[key] = read.Revision
	return true
}

func isAnswerOfGet(status int) bool { return status == http.StatusOK || status == http.StatusNotFound }

// put puts a unique value, and repeats the call for at most putTimeout while there is no clear answer. One acknowledged
// put in four is sent again to another coordinator.
func (c *keyCaller) put(ctx context.Context, key string) {
	c.puts++
	value := fmt.Sprintf("v%d.%d", c.number, c.puts)
	ifRevision := c.known[key]
	index := 0
	c.record(func(h *ApplicationHistory) {
		index = len(h.Puts)
		h.Puts = append(h.Puts, Put{Key: key, Value: value, IfRevision: ifRevision})
	})
	body := applicationBody{Value: value, IfRevision: &ifRevision}
	deadline := c.recorder.now() + putTimeout
	for isRepeat := false; ctx.Err() == nil && c.recorder.now() < deadline; {
		got := c.putOnce(ctx, key, index, body)
		switch {
		case got.status == http.StatusOK && !isRepeat && c.oneIn(4):
			isRepeat = true
			c.useNextCoordinator()
		case got.isClear():
			c.updateKnown(key, got, isRepeat)
			return
		default:
			_ = ctxtime.Sleep(ctx, applicationBackoff) // the loop ends with ctx
		}
	}
}

// putOnce makes one call of a put. It records the call before it is sent, because others may read the value from then
// on.
func (c *keyCaller) putOnce(ctx context.Context, key string, index int, body applicationBody) answer {
	attempt := 0
	c.record(func(h *ApplicationHistory) {
		attempt = len(h.Puts[index].Attempts)
		h.Puts[index].Attempts = append(h.Puts[index].Attempts, PutAttempt{SentAt: c.recorder.now(), EndedAt: unendedAttempt})
	})
	got := c.call(ctx, http.MethodPut, "/cells/"+key, body)
	c.record(func(h *ApplicationHistory) {
		made := &h.Puts[index].Attempts[attempt]
		made.EndedAt, made.Status, made.Revision = got.endedAt, got.status, got.body.Revision
	})
	return got
}

// updateKnown stores the revision of a clear answer. It skips the answer to a repeat of an acknowledged put: another
// put may have followed the first call, so that the revision may be outdated.
func (c *keyCaller) updateKnown(key string, got answer, isRepeat bool) {
	if !isRepeat && (got.status == http.StatusOK || got.status == http.StatusPreconditionFailed) {
		c.known[key] = got.body.Revision
	}
}

// watcher is an application that watches a group of keys. One call in five resumes from a random saved revision.
type watcher struct {
	*applicationCaller
	group string
	saved []savedRevision // latest first
}

// savedRevision is a revision that a watcher received.
type savedRevision struct {
	revision uint64
	givenAt  Moment
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		from := savedRevision{}
		if len(w.saved) > 0 {
			from = w.saved[0]
		}
		if len(w.saved) > 0 && w.oneIn(5) {
			from = w.saved[w.random.IntN(len(w.saved))]
			w.useNextCoordinator()
		}
		if !w.watch(ctx, from, false) {
			_ = ctxtime.Sleep(ctx, applicationBackoff) // the loop ends with ctx
		}
	}
}

// watch makes one call. It reports whether the answer was a 200 or a 410.
func (w *watcher) watch(ctx context.Context, from savedRevision, isFinal bool) bool {
	wait := watchWait
	if isFinal {
		wait = 0
	}
	path := fmt.Sprintf(watchPath+"%s?after=%d&waitMs=%d", w.group, from.revision, wait.Milliseconds())
	got := w.callWithin(ctx, wait+applicationTimeout, http.MethodGet, path, applicationBody{})
	call := WatchCall{Group: w.group, After: from.revision, GivenAt: from.givenAt, SentAt: got.sentAt, EndedAt: got.endedAt,
		Status: got.status, Events: got.body.Events, Revision: got.body.Revision, IsFinal: isFinal}
	w.record(func(h *ApplicationHistory) { h.Watches = append(h.Watches, call) })
	switch got.status {
	case http.StatusOK:
		w.saved = append([]savedRevision{{call.Revision, call.EndedAt}}, w.saved...)
		w.saved = w.saved[:min(len(w.saved), savedRevisionCount)]
	case http.StatusGone:
		w.saved = nil
	default:
		return false
	}
	return true
}
