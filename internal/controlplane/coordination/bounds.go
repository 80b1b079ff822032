package coordination

import (
	"time"

	"pumiceline/internal/message"
)

// Bounds of calls. A call that exceeds them is invalid.
const (
	MaxNameBytes  = 128              // length of the name of a lock, an owner, a key or a group
	MaxValueBytes = 4096             // length of the value of a key
	MaxHold       = 10 * time.Minute // longest time for which a lock is granted or renewed
)

// Bounds of the state. A call that would exceed them is answered with StatusInsufficientMemory and changes nothing.
const (
	// MaxStateBytes bounds the size of the groups in a snapshot: the current values of their keys plus their history.
	MaxStateBytes = 2 << 20
	// MaxHolds bounds the number of holds, including expired holds that Maintain has not released yet.
	MaxHolds = 4096
	// MaxEvents bounds the events in the history of all groups of keys.
	MaxEvents = 4 * eventBudget
)

const (
	// eventBudget and eventBytesBudget are the number and the size of events up to which the history is kept even when it
	// is older than Options.HistoryRetention. The longer history makes it possible to recognise late repeats of a put.
	eventBudget      = 8192
	eventBytesBudget = MaxStateBytes / 2
	// eventOverheadBytes is the maximum size in a snapshot of a key with its value, without the bytes of the two.
	// groupOverheadBytes is the maximum size of a group, without its name and its keys.
	eventOverheadBytes = 24
	groupOverheadBytes = 48
	// maxEventsPerAnswer and maxEventBytesPerAnswer bound the answer to a watch.
	maxEventsPerAnswer     = 512
	maxEventBytesPerAnswer = 128 << 10
)

// limits are the bounds of a store's state and of its answers.
type limits struct {
	holds            int
	stateBytes       int
	events           int
	eventBudget      int
	eventBytesBudget int
	answerEvents     int
	answerBytes      int
}

func defaultLimits() limits {
	return limits{
		holds: MaxHolds, stateBytes: MaxStateBytes, events: MaxEvents,
		eventBudget: eventBudget, eventBytesBudget: eventBytesBudget,
		answerEvents: maxEventsPerAnswer, answerBytes: maxEventBytesPerAnswer,
	}
}

// isWithinBounds reports whether the fields that a call's kind needs are present and no larger than allowed.
func isWithinBounds(call *message.Call) bool {
	switch call.Kind {
	case message.CallAcquire, message.CallRenew:
		return isName(call.Lock) && isName(call.Owner) && isHoldTime(call.HoldMs)
	case message.CallRelease:
		return isName(call.Lock) && isName(call.Owner)
	case message.CallNumber:
		return true
	case message.CallPut:
		return isName(call.Key) && len(call.Value) <= MaxValueBytes
	case message.CallGet:
		return isName(call.Key)
	case message.CallWatch:
		return isName(call.Group) && isGroup(call.Group)
	}
	return false
}

func isName[T ~string](name T) bool { return len(name) > 0 && len(name) <= MaxNameBytes }

func isHoldTime(holdMs int64) bool { return holdMs > 0 && holdMs <= MaxHold.Milliseconds() }

// groupBytes returns the size of a group without keys.
func groupBytes(name message.KeyGroup) int { return len(name) + groupOverheadBytes }

// eventBytes returns the size of a key with one of its values.
func eventBytes(key message.KeyName, value string) int {
	return len(key) + len(value) + eventOverheadBytes
}
