package replica

import (
	"bytes"
	"crypto/sha256"

	"github.com/pkg/errors"

	"pumiceline/internal/delta"
	"pumiceline/internal/message"
)

const (
	// maxHistory is how many changes are known by their digests, so that one that is sent again is acknowledged again:
	// two days of the target of 1,800 a day. They take some 120 KB.
	maxHistory = 4096
	// MaxDocumentBytes bounds a configuration in bytes: a file of the ring holds it with all that is kept beside it.
	MaxDocumentBytes = 3 << 20
	digestBytes      = 16
)

// ErrBaseMismatch says that a change was made on top of another state.
var ErrBaseMismatch = errors.New("a change on top of another state")

// ChainDigest extends a digest over all earlier changes by one change.
func ChainDigest(previous []byte, change *message.Change) []byte {
	hash := sha256.New()
	hash.Write(previous)
	hash.Write(change.Digest)
	return hash.Sum(nil)[:digestBytes]
}

// DocumentDigest tells documents apart.
func DocumentDigest(document []byte) []byte {
	sum := sha256.Sum256(document)
	return sum[:digestBytes]
}

// newRecord makes the record of a change that turns the document of a state into another.
func newRecord(state *message.ChainState, change message.Change, document []byte, view message.ViewNumber) *message.ChangeRecord {
	return &message.ChangeRecord{
		View: view, Previous: state.Digest, Change: change,
		Delta: delta.Make(state.Document, document), DocumentDigest: DocumentDigest(document),
	}
}

// ApplyChange returns the state after a change. The state that it is given is not changed. Changes beyond the newest ones
// that are kept are forgotten, and the horizon moves up to the last of them.
func ApplyChange(state *message.ChainState, record *message.ChangeRecord) (message.ChainState, error) {
	if !bytes.Equal(state.Digest, record.Previous) {
		return message.ChainState{}, ErrBaseMismatch
	}
	document, err := delta.Apply(state.Document, record.Delta, MaxDocumentBytes)
	if err != nil {
		return message.ChainState{}, err
	}
	if !bytes.Equal(DocumentDigest(document), record.DocumentDigest) {
		return message.ChainState{}, errors.New("a change that makes another document than it says")
	}
	forgotten := max(0, len(state.History)+1-maxHistory)
	horizon := state.Horizon
	if forgotten > 0 {
		horizon = state.History[forgotten-1].Version
	}
	history := make([]message.Change, 0, len(state.History)-forgotten+1)
	history = append(append(history, state.History[forgotten:]...), record.Change)
	return message.ChainState{
		View: record.View, Sequence: state.Sequence + 1, Digest: ChainDigest(state.Digest, &record.Change),
		Version: record.Change.Version, Document: document, History: history, Horizon: horizon,
	}, nil
}
