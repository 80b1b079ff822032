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

// Records as version e42614a wrote them.
const (
	oldControl = "87a169a36e2d32a17683a16e07a16d9285a169a8736565642d613a31a161a3613a31a17aa27a31a176c2a1730185a169a36e2d32a161a3623a31a17aa27a32a176c2a17303a17a03a163c3a17082a17204a170a8736565642d613a31a16282a17200a170a0a16183a16e00a16d90a17a00a174ce07000001"
	oldChain   = "86a17707a17302a164c41030313233343536373839616263646566a17609a163c4277b2276657273696f6e223a392c22726f75746573223a5b5d2c227365727669636573223a5b5d7da1689283a17605a16200a164c4106161616161616161616161616161616183a17609a16205a164c41062626262626262626262626262626262"
)

func openDir(t *testing.T, dir string) (*storage.Ring, message.ControlState, message.ChainState) {
	t.Helper()
	ring, control, chain, err := openState(dir)
	require.NoError(t, err)
	return ring, control, chain
}

func TestAStateFolderOfAnEarlierVersionIsRead(t *testing.T) {
	dir := t.TempDir()
	ring, err := storage.Open(dir)
	require.NoError(t, err)
	control, err := hex.DecodeString(oldControl)
	require.NoError(t, err)
	chain, err := hex.DecodeString(oldChain)
	require.NoError(t, err)
	require.NoError(t, ring.Write(map[storage.Kind][]byte{controlRecord: control, chainRecord: chain}))
	_, readControl, readChain := openDir(t, dir)
	assert.Equal(t, uint64(7), readControl.View.Number)
	assert.Equal(t, readControl.View.Members, readControl.View.EffectiveVoters(), "its members are its voters")
	assert.True(t, readControl.Complete)
	assert.Equal(t, uint64(9), readChain.Version)
	assert.Len(t, readChain.History, 2)
	assert.Zero(t, readChain.Horizon)
}

// extend makes the next change on top of a state: one of some routes gets another time-out.
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
		document += fmt.Sprintf(`{"name":"r-%d","host":"h.example","pathStart":"/p%d/","kind":"changing","timeoutMs":%d,"service":"s"},`, i, i, timeout)
	}
	document = document[:len(document)-1] + fmt.Sprintf(`],"version":%d}`, version)
	call := &message.ConfigRequest{Method: "PUT", IfMatch: fmt.Sprint(state.Version), Body: []byte(document)}
	decision := configuration.Judge(state, call)
	require.True(t, decision.Apply, string(decision.Body))
	record := message.ChangeRecord{
		Previous: state.Digest, Change: decision.Change, Delta: delta.Make(state.Document, decision.Document),
		DocumentDigest: replica.DocumentDigest(decision.Document),
	}
	next, err := replica.Extend(state, &record)
	require.NoError(t, err)
	return next, record
}

// Changes are added to the state on disk, and what is read back is the newest state, wherever the process ends.
func TestChangesAreAddedToTheStateOnDisk(t *testing.T) {
	dir := t.TempDir()
	ring, _, chain := openDir(t, dir)
	w := newWriter(ring, &chain, func([]message.Message) {})
	state := chain
	for i := range 600 {
		next, record := extend(t, &state)
		state = next
		written := state
		out := replica.Output{Chain: &written, Additions: []message.ChangeRecord{record}}
		switch i % 97 {
		case 0:
			out.Additions = nil // replaced whole, as by a snapshot
		case 1:
			out.Control = &message.ControlState{Identity: fmt.Sprint(i)}
		}
		w.write([]replica.Output{out})
		if i%50 == 49 {
			var read message.ChainState
			ring, _, read = openDir(t, dir)
			require.Equal(t, state.Digest, read.Digest, "change %d", i)
			require.Equal(t, string(state.Document), string(read.Document))
			w = newWriter(ring, &state, func([]message.Message) {})
		}
	}
}

// A change costs about as much as it changes, however many there were; the state is bounded.
func TestTheStateIsBounded(t *testing.T) {
	var state message.ChainState
	sizes := map[int]int{}
	records := map[int]int{}
	for i := 1; i <= 9000; i++ {
		next, record := extend(t, &state)
		state = next
		if i == 100 || i%4500 == 0 {
			whole, err := state.MarshalMsg(nil)
			require.NoError(t, err)
			text, err := record.MarshalMsg(nil)
			require.NoError(t, err)
			sizes[i], records[i] = len(whole), len(text)
		}
	}
	t.Logf("whole: %v bytes; a change: %v bytes", sizes, records)
	assert.Less(t, sizes[9000], sizes[4500]+1000)
	assert.Less(t, records[9000], 600)
	assert.Equal(t, state.History[0].Base, state.Horizon)
	first := &message.ConfigRequest{Method: "PUT", IfMatch: "0", Body: []byte(`{"version":1,"routes":[],"services":[]}`)}
	assert.Zero(t, configuration.Judge(&state, first).Status, "nobody can tell whether it was taken")
}

func TestABrokenChangeOnDiskIsNamed(t *testing.T) {
	dir := t.TempDir()
	ring, _, chain := openDir(t, dir)
	w := newWriter(ring, &chain, func([]message.Message) {})
	state, record := extend(t, &chain)
	w.write([]replica.Output{{Chain: &chain}})
	w.write([]replica.Output{{Chain: &state, Additions: []message.ChangeRecord{record}}})
	require.NoError(t, ring.Add(chainRecord, [][]byte{[]byte("no change")}, nil))
	_, _, _, err := openState(dir)
	assert.ErrorContains(t, err, "change 2 after the configuration on disk")
}
