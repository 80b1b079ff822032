package replica

import (
	"bytes"
	"crypto/sha256"

	"github.com/pkg/errors"

	"pumiceline/internal/delta"
	"pumiceline/internal/message"
)

const (
	// maxHistory is how many changes the history keeps. A repeated change is recognised by its digest and acknowledged
	// again. 4096 changes are two days of the target of 1,800 changes a day, and take some 120 KB.
	maxHistory = 4096
	// MaxDocumentBytes bounds a configuration document, so that it fits into a segment of the ring (package storage)
	// together with the other records.
	MaxDocumentBytes = 3 << 20
	// digestBytes is the length of a digest, a truncated SHA-256.
	digestBytes = 16
)

// ErrBaseMismatch is returned for a change that is based on another state.
var ErrBaseMismatch = errors.New("change builds on another state")

// errDocumentMismatch is returned for a change whose delta results in a document with another digest than the record's.
var errDocumentMismatch = errors.New("change makes a document with another digest")

// ChainDigest extends the digest of all earlier changes by one change.
func ChainDigest(previous []byte, change *message.Change) []byte {
	hash := sha256.New()
	hash.Write(previous)
	hash.Write(change.Digest)
	return hash.Sum(nil)[:digestBytes]
}

// newChangeRecord returns the record of a change that turns the document of a state into another.
func newChangeRecord(
	state *message.ChainState, change message.Change, document []byte, view message.ViewNumber,
) *message.ChangeRecord {
	return &message.ChangeRecord{
		View: view, Previous: state.Digest, Change: change,
		Delta: delta.Make(state.Document, document), DocumentDigest: message.DocumentDigest(document),
	}
}

// ApplyChange returns the state after a change; the given state is not modified. It returns ErrBaseMismatch if the
// change is based on another state, and another error if the delta cannot be applied or its result does not have the
// digest in the record.
func ApplyChange(state *message.ChainState, record *message.ChangeRecord) (message.ChainState, error) {
	if !bytes.Equal(state.Digest, record.Previous) {
		return message.ChainState{}, ErrBaseMismatch
	}
	document, err := delta.Apply(state.Document, record.Delta, MaxDocumentBytes)
	if err != nil {
		return message.ChainState{}, errors.Wrap(err, "apply the delta of a change")
	}
	if !bytes.Equal(message.DocumentDigest(document), record.DocumentDigest) {
		return message.ChainState{}, errDocumentMismatch
	}
	history, horizon := appendToHistory(state, record.Change)
	return message.ChainState{
		View: record.View, Sequence: state.Sequence + 1, Digest: ChainDigest(state.Digest, &record.Change),
		Version: record.Change.Version, Document: document, History: history, Horizon: horizon,
	}, nil
}

// appendToHistory returns the history with one more change. It drops the oldest changes beyond maxHistory, and raises
// the horizon to the version of the newest dropped change.
func appendToHistory(state *message.ChainState, change message.Change) (history []message.Change, horizon uint64) {
	dropped := max(0, len(state.History)+1-maxHistory)
	horizon = state.Horizon
	if dropped > 0 {
		horizon = state.History[dropped-1].Version
	}
	history = make([]message.Change, 0, len(state.History)-dropped+1)
	return append(append(history, state.History[dropped:]...), change), horizon
}
