package coordinationsim

import (
	"fmt"
	"time"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

const (
	keysInGroup      = 3
	maxWritePause    = 200 * time.Millisecond
	maxReadPause     = 200 * time.Millisecond
	maxWatchMs       = 1500
	minWatchMs       = 200
	emptyPause       = 100 * time.Millisecond
	anyRevisionOneIn = 8  // one in so many puts takes effect whatever revision the key has
	staleWriteOneIn  = 6  // one in so many puts names the revision below the one that the writer knows
	repeatedPutOneIn = 10 // one in so many acknowledged puts is repeated
	freshReadOneIn   = 4  // before one in so many puts on a known key the writer reads it
)

var groupNames = []message.KeyGroup{"g1.", "g2.", "g3."}

// randomKey draws a key.
func (c *Cluster) randomKey() message.KeyName {
	group := groupNames[c.random.IntN(len(groupNames))]
	return message.KeyName(fmt.Sprintf("%s%d", group, c.random.IntN(keysInGroup)))
}

// readKey reads a key until the answer is clear or the time is over. done is called with the last exchange.
func (c *Cluster) readKey(caller int, key message.KeyName, limit time.Duration, done func(*exchange)) {
	floor := c.keys.newestOfKey[key]
	c.sendUntilClear(caller, message.Call{Kind: message.CallGet, Key: key}, limit, func(x *exchange) {
		if x.isOK() || x.status == coordination.StatusNotFound {
			c.keys.onRead(x, floor)
		}
		floor = c.keys.newestOfKey[key]
	}, done)
}

// reader reads keys, one after the other.
type reader struct {
	cluster *Cluster
	caller  int
}

func newReader(c *Cluster) *reader { return &reader{cluster: c, caller: c.nextCaller()} }

func (r *reader) start() {
	c := r.cluster
	c.after(c.randomDuration(maxReadPause), func() {
		if !c.isStopping {
			c.readKey(r.caller, c.randomKey(), putRetryTime, func(*exchange) { r.start() })
		}
	})
}

// writer puts unique values, each conditional on the last revision of the key that the writer has seen.
type writer struct {
	cluster *Cluster
	caller  int
	count   int
	known   map[message.KeyName]message.Revision
}

func newWriter(c *Cluster) *writer {
	return &writer{cluster: c, caller: c.nextCaller(), known: map[message.KeyName]message.Revision{}}
}

func (w *writer) start() {
	c := w.cluster
	c.after(c.randomDuration(maxWritePause), func() {
		if c.isStopping {
			return
		}
		key := c.randomKey()
		if _, isKnown := w.known[key]; isKnown && c.random.IntN(freshReadOneIn) > 0 {
			w.put(key)
			return
		}
		c.readKey(w.caller, key, putRetryTime, func(x *exchange) {
			if x.isOK() || x.status == coordination.StatusNotFound {
				w.known[key] = x.answer.Revision
				w.put(key)
				return
			}
			w.start()
		})
	})
}

func (w *writer) put(key message.KeyName) {
	c := w.cluster
	base := w.known[key]
	if base > 0 && c.random.IntN(staleWriteOneIn) == 0 {
		base--
	}
	w.count++
	call := message.Call{Kind: message.CallPut, Key: key, Value: fmt.Sprintf("%d-%d", w.caller, w.count), IfRevision: base}
	if c.random.IntN(anyRevisionOneIn) == 0 {
		call.IfAny, call.IfRevision = true, 0
	}
	put := c.keys.newPut(call)
	each := func(x *exchange) { c.keys.onPutAnswered(put, x) }
	c.sendUntilClear(w.caller, call, putRetryTime, each, func(x *exchange) {
		switch {
		case x.isOK() && c.random.IntN(repeatedPutOneIn) == 0:
			w.known[key] = x.answer.Revision
			c.sendUntilClear(w.caller, call, putRetryTime, each, func(*exchange) { w.start() })
			return
		case x.isOK() || x.status == coordination.StatusRevisionMismatch:
			w.known[key] = x.answer.Revision
		default:
			delete(w.known, key)
		}
		w.start()
	})
}

// watcher watches the events of a group from the last revision on that it received.
type watcher struct {
	cluster    *Cluster
	caller     int
	group      message.KeyGroup
	after      message.Revision
	receivedAt time.Duration // when it received the revision in after
	isFinal    bool          // only resume sends watches from now on
}

func newWatcher(c *Cluster, group message.KeyGroup) *watcher {
	return &watcher{cluster: c, caller: c.nextCaller(), group: group}
}

func (w *watcher) start() {
	c := w.cluster
	if c.isStopping || w.isFinal {
		return
	}
	floor := c.keys.newest[w.group]
	wait := minWatchMs + c.random.Int64N(maxWatchMs)
	if w.after == 0 {
		wait = 0
	}
	call := message.Call{Kind: message.CallWatch, Group: w.group, After: w.after, WaitMs: wait}
	c.send(w.caller, call, c.randomSlot(), func(x *exchange) {
		pause := c.randomDuration(retryPauseSpread)
		if w.onAnswer(x, floor) && w.after == 0 {
			pause += emptyPause
		}
		c.after(pause, w.start)
	})
}

// onAnswer checks the answer to a watch and advances the watcher. It reports whether the answer was 200 or 410.
func (w *watcher) onAnswer(x *exchange, floor message.Revision) bool {
	c := w.cluster
	switch x.status {
	case coordination.StatusOK:
		c.keys.onWatched(x, floor)
		w.after, w.receivedAt = max(w.after, x.answer.Revision), x.endedAt
		return true
	case coordination.StatusHistoryGone:
		if age := x.endedAt - w.receivedAt; age < c.options.History {
			c.report(RuleLost, string(w.group), "410 after revision %d, which was given %v ago", w.after, age)
		}
		w.after = 0
		return true
	case coordination.StatusInvalid:
		c.report(RuleLost, string(w.group), "400 after revision %d, which was given", w.after)
	}
	return false
}
