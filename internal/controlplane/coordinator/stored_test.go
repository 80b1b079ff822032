package coordinator

import (
	"compress/gzip"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/controlplane/storage"
	"pumiceline/internal/message"
)

// The state folder in testdata was stored by the earlier version cef8855 and is never rewritten. These are its
// contents, field by field.
var (
	storedControl = message.ControlState{
		Identity: "node-a-00112233",
		View: message.View{
			Number: 12,
			Members: []message.Member{
				{Identity: "node-a-00112233", Address: "10.0.0.1:7000", Zone: "z1", SinceView: 3},
				{Identity: "node-b-44556677", Address: "10.0.0.2:7000", Zone: "z2", Diskless: true, SinceView: 11},
				{Identity: "node-c-8899aabb", Address: "10.0.0.3:7000", Zone: "z3", SinceView: 12},
			},
			Voters: []message.Member{
				{Identity: "node-a-00112233", Address: "10.0.0.1:7000", Zone: "z1", SinceView: 3},
				{Identity: "node-c-8899aabb", Address: "10.0.0.3:7000", Zone: "z3", SinceView: 12},
			},
			ReplacedVoters: []message.ReplacedVoter{{
				Member:     message.Member{Identity: "node-d-ccddeeff", Address: "10.0.0.4:7000", Zone: "z4", Diskless: true, SinceView: 5},
				ReplacedBy: "node-c-8899aabb",
			}},
		},
		Complete:         true,
		HighestProposal:  message.ProposalNumber{Counter: 9, Proposer: "node-b-44556677"},
		AcceptedProposal: message.ProposalNumber{Counter: 8, Proposer: "node-c-8899aabb"},
		AcceptedView: message.View{
			Number:  13,
			Members: []message.Member{{Identity: "node-a-00112233", Address: "10.0.0.1:7000", Zone: "z1", SinceView: 3}},
			Voters:  []message.Member{{Identity: "node-b-44556677", Address: "10.0.0.2:7000", Zone: "z2", Diskless: true, SinceView: 11}},
			ReplacedVoters: []message.ReplacedVoter{{
				Member:     message.Member{Identity: "node-e-01234567", Address: "10.0.0.5:7000", Zone: "z5", SinceView: 6},
				ReplacedBy: "node-a-00112233",
			}},
		},
		LeaseToken: 77,
	}

	// storedChain is the newest chain state that was written in full.
	storedChain = message.ChainState{
		View: 11, Sequence: 41, Digest: []byte("0123456789abcdef"), Version: 41,
		Document: []byte(storedDocument(41, 5000)),
		History: []message.Change{
			{Version: 40, Base: 39, Digest: []byte("digest-of-put-40")},
			{Version: 41, Base: 40, Digest: []byte("digest-of-put-41")},
		},
		Horizon: 39,
	}
)

// storedDocument is the configuration of a version. Versions differ in the time-out of the only route.
func storedDocument(version, timeoutMs int) string {
	return fmt.Sprintf(`{"services":[{"name":"s","maxConns":10}],"routes":[{"name":"r","host":"h.example","pathStart":"/p/",`+
		`"kind":"changing","timeoutMs":%d,"service":"s"}],"version":%d}`, timeoutMs, version)
}

// storedRequests are the operator's requests that made the two changes after storedChain.
func storedRequests() []*message.ConfigRequest {
	return []*message.ConfigRequest{
		{Method: http.MethodPut, IfMatch: "41", Body: []byte(storedDocument(42, 6000))},
		{Method: http.MethodPut, IfMatch: "42", Body: []byte(storedDocument(43, 7000))},
	}
}

// unpackState unpacks the state folder from testdata into a folder of the test.
func unpackState(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for i := range storage.SegmentCount {
		name := fmt.Sprintf("ring-%d", i)
		packed, err := os.Open(filepath.Join("testdata", name+".gz"))
		require.NoError(t, err)
		unpacked, err := gzip.NewReader(packed)
		require.NoError(t, err)
		text, err := io.ReadAll(unpacked)
		require.NoError(t, err)
		require.NoError(t, packed.Close())
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), text, 0o600))
	}
	return dir
}

func fromHex(t *testing.T, text string) []byte {
	t.Helper()
	out, err := hex.DecodeString(text)
	require.NoError(t, err)
	return out
}

// checkControlState compares each field with what the earlier version stored.
func checkControlState(t *testing.T, read message.ControlState) {
	t.Helper()
	assert.Equal(t, storedControl.Identity, read.Identity)
	assert.Equal(t, storedControl.View, read.View)
	assert.Equal(t, storedControl.Complete, read.Complete)
	assert.Equal(t, storedControl.HighestProposal, read.HighestProposal)
	assert.Equal(t, storedControl.AcceptedProposal, read.AcceptedProposal)
	assert.Equal(t, storedControl.AcceptedView, read.AcceptedView)
	assert.Equal(t, storedControl.LeaseToken, read.LeaseToken)
	assert.Equal(t, storedControl, read, "a field that is not compared above")
}

func TestReadsStateStoredByEarlierVersion(t *testing.T) {
	stored, err := openState(unpackState(t))
	require.NoError(t, err)
	ring, chain := stored.ring, stored.chain
	checkControlState(t, stored.control)

	var chainState message.ChainState
	rest, err := chainState.UnmarshalMsg(ring.Newest(chainRecord))
	require.NoError(t, err)
	assert.Empty(t, rest)
	assert.Equal(t, storedChain, chainState)

	previous, between := []byte("0123456789abcdef"), fromHex(t, "68deb83a2077fa229b58212b7a668fbd")
	changes := []message.Change{
		{Version: 42, Base: 41, Digest: fromHex(t, "67946a17b3542f9d9062c78f3fd4960f")},
		{Version: 43, Base: 42, Digest: fromHex(t, "76fb7dbd4a3fc09051302aa1b6c308bc")},
	}
	appended := []message.ChangeRecord{
		{
			View: 12, Previous: previous, Change: changes[0], Delta: []byte("\x00\x82\x01\x056000,\x87\x01\x1b\x022}"),
			DocumentDigest: fromHex(t, "b86079c0fbc06d63d32d01f3c632f364"),
		},
		{
			View: 12, Previous: between, Change: changes[1], Delta: []byte("\x00\x82\x01\x057000,\x87\x01\x1b\x023}"),
			DocumentDigest: fromHex(t, "ada504f9e147211436bfb4c08e75fb4e"),
		},
	}
	require.Len(t, ring.Appended(chainRecord), len(appended))
	for i, text := range ring.Appended(chainRecord) {
		var change message.ChangeRecord
		rest, err := change.UnmarshalMsg(text)
		require.NoError(t, err)
		assert.Empty(t, rest)
		assert.Equal(t, appended[i], change)
	}

	assert.EqualValues(t, 12, chain.View)
	assert.EqualValues(t, 43, chain.Sequence)
	assert.Equal(t, fromHex(t, "97b91264125dafc49c4ef0350434892e"), chain.Digest)
	assert.EqualValues(t, 43, chain.Version)
	assert.Equal(t, storedDocument(43, 7000), string(chain.Document))
	assert.Equal(t, append(append([]message.Change{}, storedChain.History...), changes...), chain.History)
	assert.EqualValues(t, 39, chain.Horizon)
}

// The present code stores a state in the same bytes as the earlier version.
func TestWritesStateAsStoredByEarlierVersion(t *testing.T) {
	stored, err := openState(unpackState(t))
	require.NoError(t, err)
	ring := stored.ring
	records, err := encodeRecords(&storedControl, &storedChain)
	require.NoError(t, err)
	assert.Equal(t, ring.Newest(controlRecord), records[controlRecord])
	assert.Equal(t, ring.Newest(chainRecord), records[chainRecord])
}

// A change that an earlier version applied and stored is recognized when its request is sent again. The digest of the
// request is stored, so the computation of the digest must not change.
func TestRecognizesRequestsStoredByEarlierVersion(t *testing.T) {
	stored, err := openState(unpackState(t))
	require.NoError(t, err)
	chain := stored.chain
	for _, request := range storedRequests() {
		result := configuration.Validate(&chain, request)
		assert.Equal(t, http.StatusOK, result.Status, string(result.Body))
		assert.False(t, result.Apply)
	}
}

// A replica starts from the state that an earlier version stored: as the same member of the same view, with the same
// state.
func TestReplicaStartsFromStateStoredByEarlierVersion(t *testing.T) {
	stored, err := openState(unpackState(t))
	require.NoError(t, err)
	options := replica.Options{
		Self:      message.Member{Identity: "another-identity", Address: "10.0.0.1:7000", Zone: "z1"},
		Tolerance: 1, LeaseDuration: LeaseDuration, Incarnation: 1,
	}
	started := replica.New(options, configuration.Validate, 0, stored.control, stored.chain)
	assert.Equal(t, message.MemberID("node-a-00112233"), started.Identity())
	assert.Equal(t, storedControl.View, started.View())
	assert.True(t, started.IsMember())
	assert.True(t, started.IsComplete())
	assert.Equal(t, "the decision on view 13", started.WaitingFor())
}
