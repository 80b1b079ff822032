package coordinationsim

import (
	"fmt"
	"time"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

const (
	// connectionDelay is the shortest time that a call, or its answer, takes between an application and a coordinator.
	// A random time below connectionSpread is added.
	connectionDelay  = 500 * time.Microsecond
	connectionSpread = time.Millisecond
	// callTimeout is how long an application waits for an answer. A watch waits for its WaitMs longer.
	callTimeout = time.Second
	// minRetryPause is the shortest pause before a call is retried. A random time below retryPauseSpread is added.
	minRetryPause    = 10 * time.Millisecond
	retryPauseSpread = 60 * time.Millisecond
	// putRetryTime is how long a call is retried.
	putRetryTime = 3 * time.Second
	// refusedPutGivenUpOneIn says that one in so many puts answered "nothing was done" is not retried.
	refusedPutGivenUpOneIn = 2
)

// Numbers of applications of each kind.
const (
	lockCallerCount   = 4
	numberCallerCount = 2
	writerCount       = 3
	readerCount       = 2
	watcherCount      = 3 // one for each group
)

// statusTooManyRequests guarantees, as statusUnavailable does, that nothing was done.
const statusTooManyRequests message.CallStatus = 429

// exchange is a call over one connection, with its answer.
type exchange struct {
	caller    int
	call      message.Call
	slot      int
	sentAt    time.Duration
	endedAt   time.Duration
	status    message.CallStatus // 0: no answer
	answer    message.Answer
	ended     bool
	abandoned bool // the caller crashed before the answer came
}

// isClear reports whether the answer says what was done.
func (x *exchange) isClear() bool {
	return x.ended && x.status != 0 && x.status != statusGatewayTimeout
}

// isRejected reports whether the answer guarantees that nothing was done.
func (x *exchange) isRejected() bool {
	return x.status == coordination.StatusRevisionMismatch || x.status == statusUnavailable || x.status == statusTooManyRequests
}

func (x *exchange) isOK() bool { return x.status == coordination.StatusOK }

// subject returns the name of the lock, key or group of the call.
func (x *exchange) subject() string {
	return string(x.call.Lock) + string(x.call.Key) + string(x.call.Group)
}

// String describes the exchange on one line.
func (x *exchange) String() string {
	call := fmt.Sprintf("caller %d to %d: %s %s", x.caller, x.slot, callNames[x.call.Kind], x.subject())
	switch x.call.Kind {
	case message.CallAcquire:
		call += fmt.Sprintf(" for %d ms", x.call.HoldMs)
	case message.CallRenew, message.CallRelease:
		call += fmt.Sprintf(" token %d for %d ms", x.call.Token, x.call.HoldMs)
	case message.CallPut:
		call += fmt.Sprintf(" %s over %d", x.call.Value, x.call.IfRevision)
	case message.CallWatch:
		call += fmt.Sprintf(" after %d", x.call.After)
	}
	if !x.ended {
		return call + " -> open"
	}
	return fmt.Sprintf("%s -> %.4fs %d token %d number %d value %q revision %d events %v", call, x.endedAt.Seconds(), x.status,
		x.answer.Token, x.answer.Number, x.answer.Value, x.answer.Revision, x.answer.Events)
}

var callNames = map[message.CallKind]string{
	message.CallAcquire: "acquire", message.CallRenew: "renew", message.CallRelease: "release", message.CallNumber: "number",
	message.CallPut: "put", message.CallGet: "get", message.CallWatch: "watch",
}

// startApplications starts all callers.
func (c *Cluster) startApplications() {
	for range lockCallerCount {
		newLockCaller(c).start()
	}
	for range numberCallerCount {
		newNumberCaller(c).start()
	}
	for range writerCount {
		newWriter(c).start()
	}
	for range readerCount {
		newReader(c).start()
	}
	for i := range watcherCount {
		w := newWatcher(c, groupNames[i%len(groupNames)])
		c.keys.watchers = append(c.keys.watchers, w)
		w.start()
	}
}

// nextCaller returns the number of a new application.
func (c *Cluster) nextCaller() int {
	c.callers++
	return c.callers
}

// randomSlot draws the slot of the coordinator to call.
func (c *Cluster) randomSlot() int { return c.random.IntN(len(c.slots)) }

// send sends a call to the coordinator of a slot. done is called once: when the call is answered, when its connection
// breaks or when its time is over. It is not called where the caller crashed before.
func (c *Cluster) send(caller int, call message.Call, slot int, done func(*exchange)) *exchange {
	x := &exchange{caller: caller, call: call, slot: slot, sentAt: c.now}
	c.log.exchanges = append(c.log.exchanges, x)
	end := func(answer message.Answer) {
		if x.ended {
			return
		}
		x.ended, x.endedAt = true, c.now
		if !x.abandoned {
			x.status, x.answer = answer.Status, answer
		}
		c.recordAnswer(x)
		if !x.abandoned {
			done(x)
		}
	}
	c.after(c.connectionTime(), func() {
		n := c.slots[slot]
		if !n.isUp() {
			c.after(c.connectionTime(), func() { end(message.Answer{}) })
			return
		}
		n.run(func() {
			n.relay.submit(call,
				func(answer message.Answer) {
					c.injectAfterAnswer(n)
					c.after(c.connectionTime(), func() { end(answer) })
				},
				func() { c.after(c.connectionTime(), func() { end(message.Answer{}) }) })
		})
	})
	c.after(callTimeout+time.Duration(call.WaitMs)*time.Millisecond, func() { end(message.Answer{}) })
	return x
}

func (c *Cluster) connectionTime() time.Duration {
	return connectionDelay + c.randomDuration(connectionSpread)
}

// sendUntilClear sends a call to one coordinator after the other until an answer says what was done or the limit is
// over. Calls answered 503 and 429 are retried too; a put answered so is sometimes given up. each is called for each
// exchange, and done with the last.
func (c *Cluster) sendUntilClear(caller int, call message.Call, limit time.Duration, each, done func(*exchange)) {
	latest := c.now + limit
	slot := c.randomSlot()
	var try func()
	try = func() {
		c.send(caller, call, slot, func(x *exchange) {
			each(x)
			isRefused := x.status == statusUnavailable || x.status == statusTooManyRequests
			isGivenUp := isRefused && call.Kind == message.CallPut && c.random.IntN(refusedPutGivenUpOneIn) == 0
			isRetried := !x.isClear() || isRefused && !isGivenUp
			if !isRetried || c.now >= latest {
				done(x)
				return
			}
			slot = (slot + 1) % len(c.slots)
			c.after(minRetryPause+c.randomDuration(retryPauseSpread), try)
		})
	}
	try()
}
