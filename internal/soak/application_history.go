package soak

import "strings"

// Owner is the name under which an application holds locks. It stays the same over all its holds.
type Owner string

// LockMethod is what a call does with a lock.
type LockMethod string

// The calls of a lock.
const (
	LockAcquire LockMethod = "acquire"
	LockRenew   LockMethod = "renew"
	LockRelease LockMethod = "release"
)

// LockCall is one call of a lock and its answer.
type LockCall struct {
	Lock    string
	Owner   Owner
	Method  LockMethod
	Token   uint64 // for an acquisition: the token in the answer; otherwise the token that was sent
	SentAt  Moment
	EndedAt Moment
	Status  int // 0: no answer came
	IsFinal bool
}

// Hold is the time in which an application considers itself the holder of a lock. It lasts from the answer to an
// acquisition until the application sends a release, or until the hold time has passed since it sent its last
// successful call.
type Hold struct {
	Lock  string
	Owner Owner
	Token uint64
	From  Moment
	Until Moment
}

// NumberCall is one call that takes the next number of a name.
type NumberCall struct {
	Name    string
	Value   uint64
	SentAt  Moment
	EndedAt Moment
	Status  int
	IsFinal bool
}

// PutAttempt is one call of a put.
type PutAttempt struct {
	SentAt   Moment
	EndedAt  Moment
	Status   int
	Revision uint64 // set for status 200 and 412
}

// Put is a put of a key with all its calls. No other put has the same value.
type Put struct {
	Key        string
	Value      string
	IfRevision uint64
	Attempts   []PutAttempt
}

// Get is one read of a key. A key that was never put has revision 0.
type Get struct {
	Key      string
	Value    string
	Revision uint64
	SentAt   Moment
	EndedAt  Moment
	Status   int
	IsFinal  bool
}

// KeyEvent is one put that a watch reports.
type KeyEvent struct {
	Key      string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// WatchCall is one call of a watch and its answer.
type WatchCall struct {
	Group    string // with its dot
	After    uint64
	GivenAt  Moment // when the watcher received the revision After
	SentAt   Moment
	EndedAt  Moment
	Status   int
	Events   []KeyEvent
	Revision uint64
	IsFinal  bool
}

// ApplicationHistory records the calls of applications and their answers.
type ApplicationHistory struct {
	LockCalls []LockCall
	Holds     []Hold
	Numbers   []NumberCall
	Puts      []Put
	Gets      []Get
	Watches   []WatchCall
	Late      []LateAnswer
	Cuts      []CutCall
}

// CutCall is a call whose connection to a coordinator ended without an answer before the caller's timeout.
type CutCall struct {
	Node    string
	Path    string
	SentAt  Moment
	EndedAt Moment
}

// isWatch reports whether the call waits for events. A process that stops may cut such a call.
func (c CutCall) isWatch() bool { return strings.HasPrefix(c.Path, watchPath) }

const watchPath = "/watch/"

// LateAnswer is a call at the end of the run that was answered too late or not at all.
type LateAnswer struct {
	What       string
	Waited     Moment
	IsAnswered bool
}

// groupOf returns the group of a key: its name up to and including the first dot.
func groupOf(key string) string { return key[:strings.IndexByte(key, '.')+1] }
