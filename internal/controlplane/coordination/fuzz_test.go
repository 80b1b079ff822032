package coordination

import (
	"encoding/binary"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// fuzzInput reads numbers and names from the bytes of a fuzz test. After the last byte it returns zeros.
type fuzzInput struct{ bytes []byte }

func (i *fuzzInput) byte() byte {
	if len(i.bytes) == 0 {
		return 0
	}
	first := i.bytes[0]
	i.bytes = i.bytes[1:]
	return first
}

// number returns a one-byte number in most cases, otherwise any 64-bit number.
func (i *fuzzInput) number() uint64 {
	first := i.byte()
	if first != 0xff || len(i.bytes) < 8 {
		return uint64(first)
	}
	value := binary.LittleEndian.Uint64(i.bytes)
	i.bytes = i.bytes[8:]
	return value
}

// name returns one of a few names in half of the cases, otherwise arbitrary bytes.
func (i *fuzzInput) name() string {
	names := []string{"", "a", "b", "g.", "g.a", "g.b", "h.a", "g", ".", "..", "g.a.b"}
	first := int(i.byte())
	if first < 0x80 {
		return names[first%len(names)]
	}
	length := min(len(i.bytes), (first-0x80)*4)
	name := string(i.bytes[:length])
	i.bytes = i.bytes[length:]
	return name
}

func (i *fuzzInput) call() message.Call {
	call := message.Call{Kind: message.CallKind(i.byte() % 9)}
	call.Lock, call.Owner, call.Key = message.LockName(i.name()), message.OwnerName(i.name()), message.KeyName(i.name())
	call.Value, call.Group = i.name(), message.KeyGroup(i.name())
	call.Token, call.HoldMs = message.FencingToken(i.number()), int64(i.number())
	call.IfRevision, call.After, call.WaitMs = message.Revision(i.number()), message.Revision(i.number()), int64(i.number())
	return call
}

func FuzzExecute(f *testing.F) {
	f.Add([]byte("\x01\x01\x01\x00\x00\x00\x00\x7f\x00\x00\x00\x01\x01\x02\x00\x00\x00\x00\x7f\x00\x00\x00"))
	f.Add([]byte("\x05\x01\x01\x04\x01\x03\x00\x00\x00\x00\x00\x05\x01\x01\x04\x02\x03\x00\x00\x01\x00\x00"))
	f.Add([]byte("\x07\x01\x01\x04\x01\x03\xff\xff\xff\xff\xff\xff\xff\xff\xff\x00\x00\x00\xff\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, bytes []byte) {
		input := &fuzzInput{bytes: bytes}
		issuer := newStore(Options{HistoryRetention: testRetention}, smallLimits())
		acceptor := newStore(issuer.options, issuer.limits)
		now := time.Duration(0)
		for len(input.bytes) > 0 {
			now += time.Duration(input.byte()) * 100 * time.Millisecond
			before := issuer.Snapshot(now)
			call := input.call()
			hasEvents := issuer.HasEvents(call)
			result := issuer.Execute(now, call)
			checkResult(t, &call, &before, result, hasEvents)
			changes := slices.Concat(result.Changes, issuer.Maintain(now))
			for _, change := range changes {
				acceptor.Apply(now, change)
			}
			require.Equal(t, issuer.Snapshot(now), acceptor.Snapshot(now))
			checkInvariants(t, issuer)
			checkInvariants(t, acceptor)
		}
	})
}

// checkResult checks the invariants of a result.
func checkResult(t *testing.T, call *message.Call, before *message.CoordinationState, result Result, hasEvents bool) {
	t.Helper()
	known := []message.CallStatus{
		StatusOK, StatusInvalid, StatusNotFound, StatusHeld, StatusHistoryGone, StatusRevisionMismatch,
		StatusInsufficientMemory,
	}
	if result.Waits {
		require.Equal(t, message.CallWatch, call.Kind)
		require.False(t, hasEvents)
		require.Equal(t, message.Answer{}, result.Answer)
		require.Empty(t, result.Changes)
		return
	}
	require.Contains(t, known, result.Answer.Status)
	if result.Answer.Status != StatusOK {
		require.Empty(t, result.Changes, "a rejected call must not change anything")
	}
	require.LessOrEqual(t, len(result.Changes), 1)
	for _, change := range result.Changes {
		switch {
		case change.Hold != nil && call.Kind == message.CallAcquire:
			require.Equal(t, before.LastToken+1, change.Hold.Token)
		case change.Number != 0:
			require.Equal(t, before.LastNumber+1, change.Number)
		}
	}
}

// checkInvariants compares the counters and indexes of the store with its content.
func checkInvariants(t *testing.T, s *Store) {
	t.Helper()
	require.Len(t, s.locks.holds, s.locks.byEnd.Len())
	require.LessOrEqual(t, len(s.locks.holds), s.limits.holds)
	require.LessOrEqual(t, s.events.count, s.limits.events)
	currentBytes, historyBytes, count := 0, 0, 0
	for name, group := range s.groups {
		currentBytes += groupBytes(name)
		require.Equal(t, group.revision-group.horizon, message.Revision(len(group.history)), "revisions without a gap")
		for i, event := range group.history {
			require.Equal(t, group.horizon+1+message.Revision(i), event.Revision)
			require.Equal(t, name, GroupOf(event.Key))
			require.Equal(t, event.Revision, s.events.revisions[putID{event.Key, event.Value}])
			historyBytes += eventBytes(event.Key, event.Value)
			count++
		}
		for key, current := range group.keys {
			require.LessOrEqual(t, current.revision, group.revision)
			currentBytes += eventBytes(key, current.value)
		}
	}
	require.Equal(t, currentBytes, s.groupBytes)
	require.Equal(t, historyBytes, s.events.bytes)
	require.Equal(t, count, s.events.count)
	require.Len(t, s.events.revisions, count)
	require.LessOrEqual(t, currentBytes+historyBytes, s.limits.stateBytes)
}
