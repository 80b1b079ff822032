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
	Token   uint64 // that was given by an acquisition, or sent otherwise
	SentAt  Moment
	EndedAt Moment
	Status  int // 0: no answer came
	IsFinal bool
}

// Hold is the time in which an application counts itself holder of a lock: from the answer of an acquisition until it sends
// a release, or until its time has passed since it sent its last good call.
type Hold struct {
	Lock  string
	Owner Owner
	Token uint64
	From  Moment
	Until Moment
}

// NumberCall is one call for a number.
type NumberCall struct {
	Name    string
	Value   uint64
	SentAt  Moment
	EndedAt Moment
	Status  int
	IsFinal bool
}

// PutAttempt is one sending of a put.
type PutAttempt struct {
	SentAt   Moment
	EndedAt  Moment
	Status   int
	Revision uint64 // of a 200 and a 412
}

// Put is a put of a key, with the calls that repeat it. Its value is put by no other.
type Put struct {
	Key        string
	Value      string
	IfRevision uint64
	Attempts   []PutAttempt
}

// Get is one read of a key. One that was never put has revision 0.
type Get struct {
	Key      string
	Value    string
	Revision uint64
	SentAt   Moment
	EndedAt  Moment
	Status   int
	IsFinal  bool
}

// KeyEvent is one put that a watch shows.
type KeyEvent struct {
	Key      string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// WatchCall is one call of a watch and its answer.
type WatchCall struct {
	Group    string // with its dot
	After    uint64
	GivenAt  Moment // when After was given to the watcher
	SentAt   Moment
	EndedAt  Moment
	Status   int
	Events   []KeyEvent
	Revision uint64
	IsFinal  bool
}

// ApplicationHistory is what applications saw.
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

// CutCall is a call whose connection to a coordinator ended without an answer before the caller's time was over.
type CutCall struct {
	Node    string
	Path    string
	SentAt  Moment
	EndedAt Moment
}

// isWatch says whether the call waits for events, which a process that stops may break off.
func (c CutCall) isWatch() bool { return strings.HasPrefix(c.Path, watchPath) }

const watchPath = "/watch/"

// LateAnswer is what was asked for at the end and not answered in time, if at all.
type LateAnswer struct {
	What       string
	Waited     Moment
	IsAnswered bool
}

// groupOf returns the group of a key: its name up to the first dot, with the dot.
func groupOf(key string) string { return key[:strings.IndexByte(key, '.')+1] }
