package coordination

import (
	"maps"
	"reflect"
	"slices"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// worldChecks records the answers that callers received and the committed puts, and checks the rules against them.
type worldChecks struct {
	tokens    map[message.FencingToken]int // by token: the caller that received it
	maxTokens [worldCallers]message.FencingToken
	numbers   map[uint64]bool
	committed []message.KeyEvent // puts that a majority has applied, in order
	acked     map[message.Revision]ackedPut
	rejected  map[string]bool // values whose puts were answered with 412
	newest    message.Revision
	newestOf  map[message.KeyName]message.Revision
}

// ackedPut is a put that was answered with 200.
type ackedPut struct {
	event      message.KeyEvent
	ifRevision message.Revision
}

// seenBefore records the newest results that callers had received when a call was sent. Its answer must not be older.
type seenBefore struct {
	token       message.FencingToken // the highest token of the other caller
	number      uint64
	revision    message.Revision // of the group
	keyRevision message.Revision
}

func newWorldChecks() worldChecks {
	return worldChecks{
		tokens: map[message.FencingToken]int{}, numbers: map[uint64]bool{}, acked: map[message.Revision]ackedPut{},
		rejected: map[string]bool{}, newestOf: map[message.KeyName]message.Revision{},
	}
}

func (c *worldChecks) clone() worldChecks {
	clone := *c
	clone.tokens, clone.numbers, clone.acked = maps.Clone(c.tokens), maps.Clone(c.numbers), maps.Clone(c.acked)
	clone.rejected, clone.newestOf = maps.Clone(c.rejected), maps.Clone(c.newestOf)
	return clone
}

// seen returns the newest results that callers have received when a caller sends a call.
func (c *worldChecks) seen(caller int, call *message.Call) seenBefore {
	seen := seenBefore{
		token: c.maxTokens[1-caller], revision: c.newest, keyRevision: c.newestOf[call.Key],
	}
	for number := range c.numbers {
		seen.number = max(seen.number, number)
	}
	return seen
}

// commit records the puts in a state that a majority holds, and checks that no committed put was lost and no rejected
// put took effect. The history of a small world is never trimmed.
func (c *worldChecks) commit(state message.CoordinationState) error {
	var puts []message.KeyEvent
	if len(state.KeyGroups) > 0 {
		puts = state.KeyGroups[0].History
	}
	if len(puts) < len(c.committed) || !slices.Equal(puts[:len(c.committed)], c.committed) {
		return errors.Errorf("LOST: puts %+v were committed, now there are %+v", c.committed, puts)
	}
	for _, put := range puts {
		if c.rejected[put.Value] {
			return errors.Errorf("REFUSED: %+v takes effect", put)
		}
	}
	c.committed = puts
	return nil
}

// answered checks an answer that a caller accepts.
func (c *worldChecks) answered(attempt attempt, answer message.Answer) error {
	switch attempt.call.Kind {
	case message.CallAcquire:
		return c.acquired(attempt, answer)
	case message.CallNumber:
		if answer.Number <= attempt.seen.number || c.numbers[answer.Number] {
			return errors.Errorf("ORDER: number %d", answer.Number)
		}
		c.numbers[answer.Number] = true
	case message.CallPut:
		return c.put(attempt, answer)
	case message.CallGet:
		return c.got(attempt, answer)
	case message.CallWatch:
		return c.watched(attempt, answer)
	}
	return nil
}

func (c *worldChecks) acquired(attempt attempt, answer message.Answer) error {
	if answer.Status != StatusOK {
		return nil
	}
	if holder, isGiven := c.tokens[answer.Token]; isGiven && holder != attempt.caller {
		return errors.Errorf("ONE: token %d goes to two holders", answer.Token)
	}
	if answer.Token <= attempt.seen.token {
		return errors.Errorf("ONE: token %d after %d", answer.Token, attempt.seen.token)
	}
	c.tokens[answer.Token] = attempt.caller
	c.maxTokens[attempt.caller] = max(c.maxTokens[attempt.caller], answer.Token)
	return nil
}

func (c *worldChecks) put(attempt attempt, answer message.Answer) error {
	call := attempt.call
	if answer.Status == StatusRevisionMismatch {
		c.rejected[call.Value] = true
		if answer.Revision != 0 && c.find(call.Key, answer.Revision) == nil {
			return errors.Errorf("MIXED: a 412 names revision %d of %s", answer.Revision, call.Key)
		}
		if put := c.findValue(call.Value); put != nil {
			return errors.Errorf("REFUSED: put %+v took effect", *put)
		}
		return nil
	}
	acked := ackedPut{event: message.KeyEvent{Key: call.Key, Value: call.Value, Revision: answer.Revision},
		ifRevision: call.IfRevision}
	if put := c.find(call.Key, answer.Revision); put == nil || *put != acked.event {
		return errors.Errorf("ORDER: %+v was answered, and %+v is committed", acked, put)
	}
	if earlier, isGiven := c.acked[answer.Revision]; isGiven || answer.Revision <= attempt.seen.revision {
		return errors.Errorf("ORDER: revision %d again, or after %d; %+v", answer.Revision, attempt.seen.revision, earlier)
	}
	for _, put := range c.committed {
		if put.Key == call.Key && call.IfRevision < put.Revision && put.Revision < answer.Revision {
			return errors.Errorf("ORDER: %+v succeeded over %+v", acked, put)
		}
	}
	c.acked[answer.Revision] = acked
	c.newest = max(c.newest, answer.Revision)
	c.newestOf[call.Key] = max(c.newestOf[call.Key], answer.Revision)
	return nil
}

func (c *worldChecks) got(attempt attempt, answer message.Answer) error {
	key := attempt.call.Key
	if answer.Revision < attempt.seen.keyRevision {
		return errors.Errorf("STALE: %s at %d after %d", key, answer.Revision, attempt.seen.keyRevision)
	}
	if answer.Status != StatusOK {
		return nil
	}
	return c.shown(message.KeyEvent{Key: key, Value: answer.Value, Revision: answer.Revision})
}

func (c *worldChecks) watched(attempt attempt, answer message.Answer) error {
	after := attempt.call.After
	if answer.Status != StatusOK || answer.Revision < after || answer.Revision < attempt.seen.revision {
		return errors.Errorf("LOST: %+v to a watch after %d", answer, after)
	}
	want := []message.KeyEvent{}
	for _, put := range c.committed {
		if after != 0 && put.Revision > after && put.Revision <= answer.Revision {
			want = append(want, put)
		}
	}
	if len(answer.Events) != len(want) || len(want) > 0 && !reflect.DeepEqual(answer.Events, want) {
		return errors.Errorf("ORDER: events %+v of a watch, want %+v", answer.Events, want)
	}
	for _, event := range answer.Events {
		if err := c.shown(event); err != nil {
			return err
		}
	}
	return nil
}

// shown checks a value that a caller receives.
func (c *worldChecks) shown(event message.KeyEvent) error {
	if put := c.find(event.Key, event.Revision); put == nil || *put != event {
		return errors.Errorf("MIXED: %+v is shown, and %+v is committed", event, put)
	}
	if c.rejected[event.Value] {
		return errors.Errorf("REFUSED: %+v is shown", event)
	}
	return nil
}

// find returns the committed put of a key at a revision.
func (c *worldChecks) find(key message.KeyName, revision message.Revision) *message.KeyEvent {
	for i, put := range c.committed {
		if put.Key == key && put.Revision == revision {
			return &c.committed[i]
		}
	}
	return nil
}

// findValue returns the committed put of a value.
func (c *worldChecks) findValue(value string) *message.KeyEvent {
	for i, put := range c.committed {
		if put.Value == value {
			return &c.committed[i]
		}
	}
	return nil
}

// checkStates compares the states of the members that have applied the complete log.
func (w *world) checkStates() error {
	issuer := sharedState(w.members[w.issuer].machine)
	for i, member := range w.members {
		if i == w.issuer || !w.isCurrent(i) || member.applied < len(w.log) {
			continue
		}
		if state := sharedState(member.machine); !reflect.DeepEqual(state, issuer) {
			return errors.Errorf("member %d has %+v, the issuer %+v", i, state, issuer)
		}
	}
	return nil
}

// sharedState returns a state without the remaining times of holds, which each member measures on its own clock.
func sharedState(m machine) message.CoordinationState {
	state := m.Snapshot(0)
	for i := range state.Holds {
		state.Holds[i].LeftMs = 0
	}
	return state
}
