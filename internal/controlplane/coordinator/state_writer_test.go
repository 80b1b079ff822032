package coordinator

import (
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/controlplane/storage"
	"pumiceline/internal/delta"
	"pumiceline/internal/message"
)

// Records as written by the earlier version e42614a.
const (
	oldControl = "87a169a36e2d32a17683a16e07a16d9285a169a8736565642d613a31a161a3613a31a17aa27a31a176c2a1730185a169a36e2d32a161a3623a31a17aa27a32a176c2a17303a17a03a163c3a17082a17204a170a8736565642d613a31a16282a17200a170a0a16183a16e00a16d90a17a00a174ce07000001"
	oldChain   = "86a17707a17302a164c41030313233343536373839616263646566a17609a163c4277b2276657273696f6e223a392c22726f75746573223a5b5d2c227365727669636573223a5b5d7da1689283a17605a16200a164c4106161616161616161616161616161616183a17609a16205a164c41062626262626262626262626262626262"
)

func openDir(t *testing.T, dir string) *storedState {
	t.Helper()
	stored, err := openState(dir)
	require.NoError(t, err)
	return stored
}

func TestOpenState_ReadsRecordsOfEarlierVersion(t *testing.T) {
	dir := t.TempDir()
	ring, err := storage.Open(dir)
	require.NoError(t, err)
	control, err := hex.DecodeString(oldControl)
	require.NoError(t, err)
	chain, err := hex.DecodeString(oldChain)
	require.NoError(t, err)
	require.NoError(t, ring.Write(map[storage.Kind][]byte{controlRecord: control, chainRecord: chain}))
	stored := openDir(t, dir)
	assert.Equal(t, message.ViewNumber(7), stored.control.View.Number)
	assert.Equal(t, stored.control.View.Members, stored.control.View.EffectiveVoters(), "the members are the voters")
	assert.True(t, stored.control.Complete)
	assert.Equal(t, uint64(9), stored.chain.Version)
	assert.Len(t, stored.chain.History, 2)
	assert.Zero(t, stored.chain.Horizon)
}

// extend makes the next change to a state: one route gets another time-out.
func extend(t *testing.T, state *message.ChainState) (message.ChainState, message.ChangeRecord) {
	t.Helper()
	version := state.Version + 1
	document := `{"services":[{"name":"s","maxConns":10}],"routes":[`
	const routes = 40
	for i := range routes {
		timeout := 5000
		if uint64(i) == version%routes {
			timeout = 7000
		}
		document += fmt.Sprintf(`{"name":"r-%d","host":"h.example","pathStart":"/p%d/","kind":"changing","timeoutMs":%d,`+
			`"service":"s"},`, i, i, timeout)
	}
	document = document[:len(document)-1] + fmt.Sprintf(`],"version":%d}`, version)
	request := &message.ConfigRequest{Method: "PUT", IfMatch: fmt.Sprint(state.Version), Body: []byte(document)}
	result := configuration.Validate(state, request)
	require.True(t, result.Apply, string(result.Body))
	record := message.ChangeRecord{
		Previous: state.Digest, Change: result.Change, Delta: delta.Make(state.Document, result.Document),
		DocumentDigest: message.DocumentDigest(result.Document),
	}
	next, err := replica.ApplyChange(state, &record)
	require.NoError(t, err)
	return next, record
}

// After a restart at any point, the state that is read is the newest that was written.
func TestStateWriter_RestartReadsNewestState(t *testing.T) {
	dir := t.TempDir()
	stored := openDir(t, dir)
	w := newStateWriter(stored.ring, &stored.chain, func([]message.Message) {})
	state := stored.chain
	for i := range 600 {
		next, record := extend(t, &state)
		state = next
		written := state
		out := replica.Output{Chain: &written, AppendedRecords: []message.ChangeRecord{record}}
		switch i % 97 {
		case 0:
			out.AppendedRecords = nil // the chain state is replaced, as by a snapshot
		case 1:
			out.Control = &message.ControlState{Identity: message.MemberID(fmt.Sprint(i))}
		}
		w.write([]replica.Output{out})
		if i%50 == 49 {
			stored := openDir(t, dir)
			require.Equal(t, state.Digest, stored.chain.Digest, "change %d", i)
			require.Equal(t, string(state.Document), string(stored.chain.Document))
			w = newStateWriter(stored.ring, &state, func([]message.Message) {})
		}
	}
}

// The size of a record depends only on the size of its change, not on the number of earlier changes. The chain state
// does not grow with the number of changes.
func TestChainState_SizeIsBounded(t *testing.T) {
	var state message.ChainState
	sizes := map[int]int{}
	records := map[int]int{}
	for i := 1; i <= 9000; i++ {
		next, record := extend(t, &state)
		state = next
		if i == 100 || i%4500 == 0 {
			full, err := state.MarshalMsg(nil)
			require.NoError(t, err)
			encoded, err := record.MarshalMsg(nil)
			require.NoError(t, err)
			sizes[i], records[i] = len(full), len(encoded)
		}
	}
	t.Logf("chain state: %v bytes; a change: %v bytes", sizes, records)
	assert.Less(t, sizes[9000], sizes[4500]+1000)
	assert.Less(t, records[9000], 600)
	assert.Equal(t, state.History[0].Base, state.Horizon)
	first := &message.ConfigRequest{Method: "PUT", IfMatch: "0", Body: []byte(`{"version":1,"routes":[],"services":[]}`)}
	assert.Zero(t, configuration.Validate(&state, first).Status, "the change may have been applied before the horizon")
}

func TestOpenState_ErrorNamesMalformedChange(t *testing.T) {
	dir := t.TempDir()
	stored := openDir(t, dir)
	w := newStateWriter(stored.ring, &stored.chain, func([]message.Message) {})
	state, record := extend(t, &stored.chain)
	w.write([]replica.Output{{Chain: &stored.chain}})
	w.write([]replica.Output{{Chain: &state, AppendedRecords: []message.ChangeRecord{record}}})
	require.NoError(t, stored.ring.Append(chainRecord, [][]byte{[]byte("no change")}, nil))
	_, err := openState(dir)
	assert.ErrorContains(t, err, "change 2 after the configuration on disk")
}
