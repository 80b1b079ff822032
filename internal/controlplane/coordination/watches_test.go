package coordination

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

func TestWatch(t *testing.T) {
	events := []message.KeyEvent{
		{Key: "g.a", Value: "1", Revision: 1}, {Key: "g.b", Value: "2", Revision: 2}, {Key: "g.a", Value: "3", Revision: 3},
	}
	reported := func(from int) message.Answer {
		return message.Answer{Status: StatusOK, Events: events[from:], Revision: 3}
	}
	puts := []step{
		{call: put("g.a", "1", 0), answer: atRevision(StatusOK, 1)},
		{call: put("g.b", "2", 0), answer: atRevision(StatusOK, 2)},
		{call: put("h.a", "9", 0), answer: atRevision(StatusOK, 1)},
		{call: put("g.a", "3", 1), answer: atRevision(StatusOK, 3)},
	}
	tests := []struct {
		name   string
		call   message.Call
		answer message.Answer
		waits  bool
	}{
		{name: "after 0 returns the current revision at once", call: watch("g.", 0, 9000), answer: atRevision(StatusOK, 3)},
		{name: "after 0 in a group without keys", call: watch("x.", 0, 9000), answer: atRevision(StatusOK, 0)},
		{name: "reports all events above the first", call: watch("g.", 1, 9000), answer: reported(1)},
		{name: "reports the newest event", call: watch("g.", 2, 9000), answer: reported(2)},
		{name: "waits for the next event", call: watch("g.", 3, 1), waits: true},
		{name: "ends without an event", call: watch("g.", 3, 0), answer: atRevision(StatusOK, 3)},
		{name: "ends without an event if the wait is negative", call: watch("g.", 3, -1), answer: atRevision(StatusOK, 3)},
		{name: "after a revision that no put has yet", call: watch("g.", 4, 9000), answer: status(StatusInvalid)},
		{name: "after a revision in a group without keys", call: watch("x.", 1, 9000), answer: status(StatusInvalid)},
		{name: "of a key instead of a group", call: watch("g.a", 1, 9000), answer: status(StatusInvalid)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runSteps(t, append(puts[:len(puts):len(puts)], step{call: test.call, answer: test.answer, waits: test.waits}))
		})
	}
}

func TestHasEvents_AgreesWithExecute(t *testing.T) {
	store := newTestStore()
	waiting := watch("g.", 1, 9000)
	store.Execute(0, put("g.a", "1", 0))
	assert.False(t, store.HasEvents(waiting))
	store.Execute(0, put("h.a", "1", 0))
	assert.False(t, store.HasEvents(waiting), "a put to another group is no event")
	store.Execute(0, put("g.a", "1", 0))
	assert.False(t, store.HasEvents(waiting), "a repeated put is no event")
	store.Execute(0, put("g.b", "2", 0))
	assert.True(t, store.HasEvents(waiting))
	assert.False(t, store.Execute(0, waiting).Waits)
}

func TestWatch_ContinuesAfterATruncatedAnswer(t *testing.T) {
	tests := []struct {
		name  string
		value string
		puts  int
	}{
		{"by the number of events", "x", 3*maxEventsPerAnswer + 7},
		{"by their size", strings.Repeat("x", MaxValueBytes-8), 3*maxEventBytesPerAnswer/MaxValueBytes + 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := newTestStore()
			for i := range test.puts {
				result := store.Execute(0, put("g.a", fmt.Sprintf("%s%d", test.value, i), message.Revision(i)))
				require.Equal(t, StatusOK, result.Answer.Status)
			}
			after, answers := message.Revision(1), 0
			for ; after < message.Revision(test.puts); answers++ {
				answer := store.Execute(0, watch("g.", after, 9000)).Answer
				require.NotEmpty(t, answer.Events)
				for _, event := range answer.Events {
					require.Equal(t, after+1, event.Revision)
					after++
				}
				require.Equal(t, after, answer.Revision, "a truncated answer has the revision of its last event")
			}
			assert.Equal(t, 4, answers)
		})
	}
}

// The issuer keeps an answer until its round is accepted. The answer must not change when events are dropped in the
// meantime.
func TestWatch_AnswerSharesNoMemoryWithTheHistory(t *testing.T) {
	store := newTestStore()
	store.Execute(0, put("g.a", "1", 0))
	store.Execute(0, put("g.a", "2", 1))
	answer := store.Execute(0, watchAll("g.")).Answer
	store.Apply(0, message.CoordinationChange{Trim: &message.HistoryTrim{Group: "g.", Horizon: 2}})
	store.Execute(0, put("g.a", "3", 2))
	assert.Equal(t, []message.KeyEvent{{Key: "g.a", Value: "2", Revision: 2}}, answer.Events)
}
