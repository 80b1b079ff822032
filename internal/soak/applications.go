package soak

import (
	"context"
	"fmt"
	"time"

	"pumiceline/internal/ctxtime"
)

// Numbers of applications, and parameters of their final calls.
const (
	lockCallers     = 5
	electionCallers = 3
	numberCallers   = 2
	keyCallers      = 4
	watchers        = 3
	finalTimeout    = 3 * time.Second // each call at the end must be answered within this time
	finalOwner      = "app-final"
)

// applications are the callers of locks, numbers, keys and watches.
type applications struct {
	coordinators *coordinatorList
	recorder     *recorder
	seed         uint64
	callerCount  uint64 // numbers the callers, which is part of their random seeds
	watchers     []*watcher
	isUnanswered bool // a call at the end got no answer
}

func (a *applications) newCaller() *applicationCaller {
	a.callerCount++
	return newApplicationCaller(a.coordinators, a.recorder, a.seed, a.callerCount)
}

// start passes each application to run, which must run it in its own goroutine.
func (a *applications) start(run func(application func(ctx context.Context))) {
	for i := range lockCallers {
		run(newLockCaller(a.newCaller(), i, "lock", lockCount, lockHolds).run)
	}
	for i := range electionCallers {
		run(newLockCaller(a.newCaller(), i, "election", electionCount, electionHolds).run)
	}
	for range numberCallers {
		run(numberCaller{a.newCaller()}.run)
	}
	for i := range keyCallers {
		run(newKeyCaller(a.newCaller(), i).run)
	}
	for i := range watchers {
		w := &watcher{applicationCaller: a.newCaller(), group: fmt.Sprintf("g%d.", i%groupCount)}
		a.watchers = append(a.watchers, w)
		run(w.run)
	}
}

// finish reads all keys back, takes a number of each name, calls for each lock, and resumes the watches from the oldest
// saved revision. All applications must have ended before.
func (a *applications) finish(ctx context.Context) {
	keys := newKeyCaller(a.newCaller(), keyCallers)
	for group := range groupCount {
		for i := range keyCount {
			key := fmt.Sprintf("g%d.k%d", group, i)
			a.repeatUntilAnswered(ctx, "key "+key, func() bool { return keys.get(ctx, key, true) })
		}
	}
	numbers := numberCaller{a.newCaller()}
	for i := range numberCount {
		name := fmt.Sprintf("n%d", i)
		a.repeatUntilAnswered(ctx, "number "+name, func() bool { return numbers.take(ctx, name, true) })
	}
	for i := range lockCount {
		a.finishLock(ctx, fmt.Sprintf("lock%d", i))
	}
	for i := range electionCount {
		a.finishLock(ctx, fmt.Sprintf("election%d", i))
	}
	for _, w := range a.watchers {
		if len(w.saved) > 0 {
			oldest := w.saved[len(w.saved)-1]
			a.repeatUntilAnswered(ctx, "watch "+w.group, func() bool { return w.watch(ctx, oldest, true) })
		}
	}
}

// finishLock calls for a lock. A conflict because of another holder is a clear answer too.
func (a *applications) finishLock(ctx context.Context, lock string) {
	caller := newLockCaller(a.newCaller(), 0, "", 0, nil)
	caller.owner = finalOwner
	a.repeatUntilAnswered(ctx, "lock "+lock, func() bool {
		caller.acquire(ctx, lock, lockHolds[0])
		answered := false
		caller.record(func(h *ApplicationHistory) {
			last := &h.LockCalls[len(h.LockCalls)-1]
			last.IsFinal = true
			answered = answer{status: last.Status}.isClear()
		})
		return answered
	})
}

// repeatUntilAnswered repeats a call until there is an answer, for at most finalTimeout plus SlowExtra, and for at most
// finalTimeout once another call got none. It records a call that took longer than finalTimeout, which is the time that
// callers wait at the end of a test day.
func (a *applications) repeatUntilAnswered(ctx context.Context, description string, call func() (isAnswered bool)) {
	started := a.recorder.now()
	late := LateAnswer{What: description}
	longestWait := finalTimeout
	if !a.isUnanswered {
		longestWait += a.recorder.history.Bounds.SlowExtra
	}
	for ctx.Err() == nil && !late.IsAnswered && late.Waited < longestWait {
		if late.IsAnswered = call(); !late.IsAnswered {
			_ = ctxtime.Sleep(ctx, applicationBackoff) // the loop ends with ctx
		}
		late.Waited = a.recorder.now() - started
	}
	a.isUnanswered = a.isUnanswered || !late.IsAnswered
	if !late.IsAnswered || late.Waited > finalTimeout {
		a.recorder.edit(func(h *History) { h.Applications.Late = append(h.Applications.Late, late) })
	}
}
