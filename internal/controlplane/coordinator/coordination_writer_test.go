package coordinator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/epoch"
	"pumiceline/internal/message"
)

// coordinationLog makes the outputs of an issuer that writes one change after the other.
type coordinationLog struct {
	position message.CoordinationPosition
}

// next returns an output with the next number as its change.
func (l *coordinationLog) next() epoch.Output {
	write := message.CoordinationWrite{Previous: l.position}
	l.position.Sequence++
	write.Position = l.position
	write.Changes = []message.CoordinationChange{{Number: l.position.Sequence}}
	return epoch.Output{Writes: []message.CoordinationWrite{write}}
}

// newCoordinationLog returns a log and its first output, which has a complete state.
func newCoordinationLog() (*coordinationLog, epoch.Output) {
	group := message.AcceptorGroup{Number: 1, View: 1, Acceptors: []message.Member{{Identity: "a", Address: "a:1"}}}
	l := &coordinationLog{position: message.CoordinationPosition{Group: 1}}
	state := &message.CoordinationState{Group: group, Position: l.position}
	return l, epoch.Output{State: state, Record: &message.CoordinationRecord{Identity: "a"}}
}

// After a restart at any point, the state that is read is the newest that was written.
func TestCoordinationWriter_RestartReadsNewestState(t *testing.T) {
	dir := t.TempDir()
	opened, err := openCoordinationState(dir)
	require.NoError(t, err)
	w := newCoordinationWriter(opened.ring, func([]message.Message) {})
	log, first := newCoordinationLog()
	w.write([]epoch.Output{first})
	for i := range 3*maxAppendedWrites + 10 {
		out := log.next()
		if i%100 == 0 {
			out.Record = &message.CoordinationRecord{Identity: "a", Promised: message.Epoch{Counter: uint64(i)}}
		}
		w.write([]epoch.Output{out})
		if i%1500 != 0 {
			continue
		}
		stored, err := openCoordinationState(dir)
		require.NoError(t, err)
		assert.Equal(t, log.position.Sequence, epoch.Replay(stored.Stored).LastNumber)
		assert.Equal(t, log.position, epoch.Replay(stored.Stored).Position)
		assert.Equal(t, uint64(i), stored.Record.Promised.Counter)
		w = newCoordinationWriter(stored.ring, func([]message.Message) {})
	}
}

// A complete state replaces everything before it, including earlier writes of the same batch.
func TestCoordinationWriter_CompleteStateReplacesWrites(t *testing.T) {
	dir := t.TempDir()
	opened, err := openCoordinationState(dir)
	require.NoError(t, err)
	w := newCoordinationWriter(opened.ring, func([]message.Message) {})
	log, first := newCoordinationLog()
	w.write([]epoch.Output{first, log.next(), log.next()})
	replaced := *first.State
	replaced.LastNumber, replaced.Position.Sequence = 100, 50
	w.write([]epoch.Output{log.next(), {State: &replaced}})
	stored, err := openCoordinationState(dir)
	require.NoError(t, err)
	assert.Empty(t, stored.Writes)
	assert.Equal(t, uint64(100), epoch.Replay(stored.Stored).LastNumber)
}

// The messages of a batch of outputs are sent only after its records are synced, in the order of the outputs.
func TestSyncQueue_SendsInOrderAfterTheWrite(t *testing.T) {
	var steps []string
	done := make(chan struct{})
	q := newSyncQueue(
		func(outputs []int) { steps = append(steps, fmt.Sprint("write ", outputs)) },
		func(out *int) {
			steps = append(steps, fmt.Sprint("send ", *out))
			if *out == 3 {
				close(done)
			}
		},
	)
	assert.True(t, q.isIdle())
	for i := 1; i <= 3; i++ {
		q.enqueue(i)
	}
	assert.False(t, q.isIdle())
	go q.run()
	<-done
	assert.Equal(t, []string{"write [1 2 3]", "send 1", "send 2", "send 3"}, steps)
}
