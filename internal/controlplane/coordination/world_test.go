package coordination

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// A world is a small model of the system for exhaustive and random exploration. It has three members, two callers, one
// lock, two keys of one group and the numbers. A majority of the members must apply each write before its answer is
// released. Member 0 is the first issuer. A new issuer continues from the newer state of itself and one other member;
// writes that neither of the two has are lost. Each possible event is an action; exploration and walks choose among the
// actions.

const (
	worldMembers = 3
	worldCallers = 2
	worldTick    = time.Second
	worldHold    = 2 // ticks
	worldLock    = "l"
	worldGroup   = "g."
)

// worldBounds bounds the actions in a world.
type worldBounds struct {
	kinds    []message.CallKind // kinds of the calls
	ticks    int
	calls    int // of each caller
	repeats  int // of each caller: a call is sent again before it is answered
	crashes  int // of each caller: it loses its call and its hold
	restarts int // of all members
	issuers  int // number of epochs
}

// world is the complete state of the model. Times are in ticks.
type world struct {
	bounds   worldBounds
	now      int
	members  [worldMembers]worldMember
	epoch    int        // counts the issuers from 1
	issuer   int        // the member
	log      []logEntry // of the current epoch, as its issuer wrote it
	released int        // entries of log whose answers were released
	requests []attempt  // in flight, in any order
	replies  []reply
	callers  [worldCallers]worldCaller
	checks   worldChecks

	ignoresStates bool // check only the answers to callers, not the states of members
}

// worldMember is a member and its position in the log.
type worldMember struct {
	machine machine
	epoch   int // epoch of its state; if it is not the current one, sync first restores the issuer's state
	applied int // entries of that epoch's log
	clock   int // ahead of world.now
}

// logEntry is a write with the answer that is released once a majority has applied it.
type logEntry struct {
	changes []message.CoordinationChange
	attempt attempt
	answer  message.Answer
}

// attempt is one sending of a call.
type attempt struct {
	caller, number, sentAt int
	call                   *message.Call
	seen                   seenBefore // when the call was sent; for a put, when it was first sent
}

type reply struct {
	attempt attempt
	answer  message.Answer
}

// worldCaller is a caller. It considers itself the holder from a 200 until it releases the lock, or until the duration
// of the hold has passed since it sent its last successful call.
type worldCaller struct {
	waitsFor                attempt // number 0: none
	calls, repeats, crashes int
	token                   message.FencingToken
	holdsUntil              int
	revisions               [2]message.Revision // of the keys, the newest that it has received
	watched                 message.Revision
	puts                    int
}

type actionKind int

const (
	sendCall actionKind = iota
	repeatCall
	callerCrashes
	executeRequest // the issuer executes a request; no other member applies it yet
	completeCall   // the issuer executes a request, a member applies it, and the caller gets the answer, in one action
	syncMember
	deliverReply
	changeIssuer
	restartMember
	passTick
)

var actionNames = map[actionKind]string{
	sendCall: "send", repeatCall: "repeat", callerCrashes: "crash", executeRequest: "execute", completeCall: "complete",
	syncMember: "sync", deliverReply: "reply", changeIssuer: "change issuer", restartMember: "restart", passTick: "tick",
}

// action is one possible event.
type action struct {
	kind   actionKind
	index  int // of the caller, request, member or reply
	call   *message.Call
	member int // completeCall: the member that applies; changeIssuer: the member that provides its state
}

// String describes the action in a trace.
func (a action) String() string {
	if a.call != nil {
		return fmt.Sprintf("%s %d %+v", actionNames[a.kind], a.index, *a.call)
	}
	return fmt.Sprintf("%s %d with %d", actionNames[a.kind], a.index, a.member)
}

func newWorld(defect defect, bounds worldBounds) *world {
	w := &world{bounds: bounds, epoch: 1, checks: newWorldChecks()}
	for i := range w.members {
		w.members[i] = worldMember{machine: newMachine(defect, defaultLimits()), epoch: 1, clock: 100 * i}
	}
	return w
}

func (w *world) clone() *world {
	clone := *w
	for i := range clone.members {
		clone.members[i].machine = cloneMachine(w.members[i].machine)
	}
	clone.log, clone.requests, clone.replies = slices.Clone(w.log), slices.Clone(w.requests), slices.Clone(w.replies)
	clone.checks = w.checks.clone()
	return &clone
}

// isCurrent reports whether a member holds a state of the current epoch.
func (w *world) isCurrent(member int) bool { return w.members[member].epoch == w.epoch }

func (w *world) timeOf(member int) time.Duration {
	return time.Duration(w.now+w.members[member].clock) * worldTick
}

// actions returns all possible next actions.
func (w *world) actions() (actions []action) {
	for i := range w.callers {
		actions = append(actions, w.callerActions(i)...)
	}
	for i := range w.requests {
		actions = append(actions, action{kind: executeRequest, index: i})
		for member := range w.members {
			if member != w.issuer {
				actions = append(actions, action{kind: completeCall, index: i, member: member})
			}
		}
	}
	for i := range w.members {
		if i != w.issuer {
			actions = append(actions, w.memberActions(i)...)
		}
	}
	for i := range w.replies {
		actions = append(actions, action{kind: deliverReply, index: i})
	}
	if w.now < w.bounds.ticks {
		actions = append(actions, action{kind: passTick})
	}
	return actions
}

// memberActions returns the possible actions of a member that is not the issuer.
func (w *world) memberActions(index int) (actions []action) {
	if !w.isCurrent(index) || w.members[index].applied < len(w.log) {
		actions = append(actions, action{kind: syncMember, index: index})
	}
	if w.bounds.restarts > 0 {
		actions = append(actions, action{kind: restartMember, index: index})
	}
	for other := range w.members {
		if other != index && w.epoch < w.bounds.issuers {
			actions = append(actions, action{kind: changeIssuer, index: index, member: other})
		}
	}
	return actions
}

func (w *world) callerActions(index int) (actions []action) {
	caller := &w.callers[index]
	isWaiting := caller.waitsFor.number != 0
	if isWaiting && caller.repeats < w.bounds.repeats {
		actions = append(actions, action{kind: repeatCall, index: index})
	}
	if (isWaiting || w.isHolder(index)) && caller.crashes < w.bounds.crashes {
		actions = append(actions, action{kind: callerCrashes, index: index})
	}
	if isWaiting || caller.calls == w.bounds.calls {
		return actions
	}
	for _, kind := range w.bounds.kinds {
		for _, call := range w.drawCalls(index, kind) {
			actions = append(actions, action{kind: sendCall, index: index, call: &call})
		}
	}
	return actions
}

// drawCalls returns the calls of a kind that a caller may send.
func (w *world) drawCalls(index int, kind message.CallKind) []message.Call {
	caller, owner := &w.callers[index], message.OwnerName([]string{"one", "two"}[index])
	holdMs := (worldHold * worldTick).Milliseconds()
	key := func(i int) message.KeyName { return message.KeyName([]string{"g.a", "g.b"}[i]) }
	switch kind {
	case message.CallAcquire:
		return []message.Call{acquire(worldLock, owner, holdMs)}
	case message.CallRenew:
		if w.isHolder(index) {
			return []message.Call{renew(worldLock, owner, caller.token, holdMs)}
		}
	case message.CallRelease:
		if caller.token != 0 {
			return []message.Call{release(worldLock, owner, caller.token)}
		}
	case message.CallNumber:
		return []message.Call{number()}
	case message.CallPut:
		value := fmt.Sprintf("%s%d", owner, caller.puts+1)
		return []message.Call{put(key(0), value, caller.revisions[0]), put(key(1), value, caller.revisions[1])}
	case message.CallGet:
		return []message.Call{get(key(0)), get(key(1))}
	case message.CallWatch:
		return []message.Call{watch(worldGroup, caller.watched, 0)}
	}
	return nil
}

// isHolder reports whether a caller considers itself the holder of the lock.
func (w *world) isHolder(index int) bool {
	return w.callers[index].token != 0 && w.now < w.callers[index].holdsUntil
}

// apply performs an action and returns the rule that it violated, if any.
func (w *world) apply(a action) error {
	switch a.kind {
	case sendCall:
		w.send(a.index, a.call)
	case repeatCall:
		caller := &w.callers[a.index]
		caller.repeats++
		call, seen := caller.waitsFor.call, caller.waitsFor.seen
		if call.Kind != message.CallPut {
			seen = w.checks.seen(a.index, call)
		}
		w.transmit(a.index, call, seen)
	case callerCrashes:
		caller := &w.callers[a.index]
		caller.crashes++
		caller.waitsFor, caller.token = attempt{}, 0
	case executeRequest:
		w.execute(a.index)
	case completeCall:
		return w.complete(a)
	case syncMember:
		if err := w.sync(a.index); err != nil {
			return err
		}
	case deliverReply:
		if err := w.deliver(a.index); err != nil {
			return err
		}
	case changeIssuer:
		w.changeIssuer(a.index, a.member)
	case restartMember:
		w.restart(a.index)
	case passTick:
		w.now++
	}
	if w.isHolder(0) && w.isHolder(1) {
		return errors.New("ONE: both callers consider themselves the holder")
	}
	if w.ignoresStates {
		return nil
	}
	return w.checkStates()
}

func (w *world) send(index int, call *message.Call) {
	caller := &w.callers[index]
	caller.calls++
	if call.Kind == message.CallPut {
		caller.puts++
	}
	w.transmit(index, call, w.checks.seen(index, call))
	if call.Kind == message.CallRelease {
		caller.waitsFor, caller.token = attempt{}, 0 // it does not wait for an answer
	}
}

// transmit sends a call, for the first time or again. Answers to earlier attempts are ignored from now on.
func (w *world) transmit(index int, call *message.Call, seen seenBefore) {
	caller := &w.callers[index]
	number := 10*caller.calls + caller.repeats
	caller.waitsFor = attempt{caller: index, number: number, sentAt: w.now, call: call, seen: seen}
	w.requests = append(w.requests, caller.waitsFor)
}

// execute executes a request at the issuer.
func (w *world) execute(index int) {
	attempt := w.requests[index]
	w.requests = slices.Delete(w.requests, index, index+1)
	issuer := &w.members[w.issuer]
	now := w.timeOf(w.issuer)
	changes := issuer.machine.Maintain(now)
	result := issuer.machine.Execute(now, *attempt.call)
	w.log = append(w.log, logEntry{
		changes: slices.Concat(changes, result.Changes), attempt: attempt, answer: result.Answer,
	})
	issuer.applied = len(w.log)
}

// complete executes a request, applies it at a member, and delivers its answer.
func (w *world) complete(a action) error {
	attempt := w.requests[a.index]
	w.execute(a.index)
	if err := w.sync(a.member); err != nil {
		return err
	}
	last := len(w.replies) - 1
	if last < 0 || w.replies[last].attempt != attempt {
		return errors.New("the answer was not released")
	}
	return w.apply(action{kind: deliverReply, index: last})
}

// sync brings a member up to date with the log. The member and the issuer are a majority, so the answers are released.
func (w *world) sync(index int) error {
	member, issuer := &w.members[index], &w.members[w.issuer]
	if !w.isCurrent(index) {
		member.machine.Restore(w.timeOf(index), issuer.machine.Snapshot(w.timeOf(w.issuer)), false)
		member.epoch, member.applied = w.epoch, len(w.log)
	}
	for ; member.applied < len(w.log); member.applied++ {
		for _, change := range w.log[member.applied].changes {
			member.machine.Apply(w.timeOf(index), change)
		}
	}
	if err := w.checks.commit(issuer.machine.Snapshot(0)); err != nil {
		return err
	}
	for ; w.released < len(w.log); w.released++ {
		entry := w.log[w.released]
		w.replies = append(w.replies, reply{attempt: entry.attempt, answer: entry.answer})
	}
	return nil
}

// deliver delivers a reply to its caller.
func (w *world) deliver(index int) error {
	reply := w.replies[index]
	w.replies = slices.Delete(w.replies, index, index+1)
	caller := &w.callers[reply.attempt.caller]
	if caller.waitsFor.number != reply.attempt.number {
		return nil // the caller waits for another attempt
	}
	caller.waitsFor = attempt{}
	if err := w.checks.answered(reply.attempt, reply.answer); err != nil {
		return err
	}
	w.handleAnswer(caller, reply)
	return nil
}

// handleAnswer updates a caller with an answer.
func (w *world) handleAnswer(caller *worldCaller, reply reply) {
	call, answer := reply.attempt.call, reply.answer
	holdsUntil := reply.attempt.sentAt + worldHold
	switch call.Kind {
	case message.CallAcquire:
		if answer.Status == StatusOK && w.now < holdsUntil {
			caller.token, caller.holdsUntil = answer.Token, holdsUntil
		}
	case message.CallRenew:
		if answer.Status != StatusOK || w.now >= caller.holdsUntil {
			caller.token = 0
			return
		}
		caller.holdsUntil = holdsUntil
	case message.CallPut, message.CallGet:
		i := strings.Index("ab", strings.TrimPrefix(string(call.Key), worldGroup))
		caller.revisions[i] = max(caller.revisions[i], answer.Revision)
	case message.CallWatch:
		caller.watched = answer.Revision
	}
}

// changeIssuer makes a member the issuer, which continues from the newer state of itself and another member. Replies in
// flight may still arrive.
func (w *world) changeIssuer(index, other int) {
	issuer, source := &w.members[index], &w.members[other]
	if cmp.Or(cmp.Compare(source.epoch, issuer.epoch), cmp.Compare(source.applied, issuer.applied)) > 0 {
		issuer.machine.Restore(w.timeOf(index), source.machine.Snapshot(w.timeOf(other)), false)
	}
	w.epoch++
	w.issuer, w.log, w.released = index, nil, 0
	issuer.epoch, issuer.applied = w.epoch, 0
}

// restart restores a member's state from its disk. Its clock starts again at 0.
func (w *world) restart(index int) {
	w.bounds.restarts--
	member := &w.members[index]
	snapshot := member.machine.Snapshot(w.timeOf(index))
	member.clock = -w.now
	member.machine.Restore(w.timeOf(index), snapshot, true)
}
