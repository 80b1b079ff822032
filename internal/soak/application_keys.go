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
	numberCount = 2
	groupCount  = 2
	keyCount    = 8                      // in each group
	putTimeout  = 4 * time.Second        // for which a put without a clear answer is sent again
	savedAge    = 4                      // a watcher resumes from one of as many revisions that it was given last
	callPause   = 120 * time.Millisecond // between calls of an application, at most
)

// numberCaller is an application that asks for numbers.
type numberCaller struct{ *applicationCaller }

func (c numberCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.take(ctx, c.name("n", numberCount), false)
		c.pause(ctx, 0, callPause)
	}
}

// take makes one call for a number. It says whether there was one.
func (c numberCaller) take(ctx context.Context, name string, isFinal bool) bool {
	got := c.call(ctx, http.MethodPost, "/numbers/"+name, applicationBody{})
	number := NumberCall{Name: name, SentAt: got.sentAt, EndedAt: got.endedAt, Status: got.status, IsFinal: isFinal}
	if got.status == http.StatusOK && json.Unmarshal(got.body.Value, &number.Value) != nil {
		number.Value = 0 // below all others, which the checker reports
	}
	c.record(func(h *ApplicationHistory) { h.Numbers = append(h.Numbers, number) })
	return got.status == http.StatusOK
}

// keyCaller is an application that reads keys and puts them on top of the revision that it knows.
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
		key := c.name("g", groupCount) + "." + c.name("k", keyCount)
		if c.chance(2) {
			c.get(ctx, key, false)
		} else {
			c.put(ctx, key)
		}
		c.pause(ctx, 0, callPause)
	}
}

// get makes one call for a key. It says whether there was a clear answer.
func (c *keyCaller) get(ctx context.Context, key string, isFinal bool) bool {
	got := c.call(ctx, http.MethodGet, "/cells/"+key, applicationBody{})
	read := Get{Key: key, Revision: got.body.Revision, SentAt: got.sentAt, EndedAt: got.endedAt, Status: got.status, IsFinal: isFinal}
	if got.status == http.StatusOK && json.Unmarshal(got.body.Value, &read.Value) != nil {
		read.Value = string(got.body.Value) // no one put it, which the checker reports
	}
	c.record(func(h *ApplicationHistory) { h.Gets = append(h.Gets, read) })
	if !isAnswerOfGet(got.status) {
		return false
	}
	c.known[key] = read.Revision
	return true
}

func isAnswerOfGet(status int) bool { return status == http.StatusOK || status == http.StatusNotFound }

// put puts a value of its own, and sends it again for some seconds while there is no clear answer. Now and then it sends
// one again that was acknowledged.
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
	for isAgain := false; ctx.Err() == nil && c.recorder.now() < deadline; {
		got := c.putOnce(ctx, key, index, body)
		switch {
		case got.status == http.StatusOK && !isAgain && c.chance(4):
			isAgain = true
			c.turn()
		case got.isClear():
			c.learn(key, got, isAgain)
			return
		default:
			_ = ctxtime.Sleep(ctx, applicationBackoff) // the loop ends with ctx
		}
	}
}

// putOnce makes one call of a put, which is recorded before it is sent: from then on the value may be shown.
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

// learn keeps the revision of a clear answer. A repeated put may have been followed by another, so its revision is old.
func (c *keyCaller) learn(key string, got answer, isAgain bool) {
	if !isAgain && (got.status == http.StatusOK || got.status == http.StatusPreconditionFailed) {
		c.known[key] = got.body.Revision
	}
}

// watcher is an application that watches a group of keys, and now and then resumes from a revision that it saved.
type watcher struct {
	*applicationCaller
	group string
	saved []savedRevision // the last first
}

// savedRevision is a revision that a watcher was given.
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
		if len(w.saved) > 0 && w.chance(5) {
			from = w.saved[w.random.IntN(len(w.saved))]
			w.turn()
		}
		if !w.watch(ctx, from, false) {
			_ = ctxtime.Sleep(ctx, applicationBackoff) // the loop ends with ctx
		}
	}
}

// watch makes one call. It says whether there was an answer.
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
		w.saved = w.saved[:min(len(w.saved), savedAge)]
	case http.StatusGone:
		w.saved = nil
	default:
		return false
	}
	return true
}
