package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/message"
)

// digestBytes is the length of a request digest, a truncated SHA-256.
const digestBytes = 16

// Validate decides whether an operator's PUT or PATCH can be applied to a state. The result's status is
//
//	200  the change was applied before, or is valid and must be applied (Apply)
//	400  the change is invalid; the body names the faults
//	412  the change is based on an older version than the current one
//	413  the document is too large
//	0    undecided
//
// A rejection must be final. Another copy of the request may still be in transit, and must not be applied after the
// operator has received the rejection. So a request that could become valid on a later state stays undecided.
func Validate(state *message.ChainState, request *message.ConfigRequest) replica.ValidationResult {
	return NewValidator().Validate(state, request)
}

// Validate decides as the function Validate does, and keeps what it has read of requests.
func (v *Validator) Validate(state *message.ChainState, request *message.ConfigRequest) replica.ValidationResult {
	digest := RequestDigest(request)
	isSame := func(applied message.Change) bool { return bytes.Equal(applied.Digest, digest) }
	if slices.ContainsFunc(state.History, isSame) {
		return replica.ValidationResult{Status: http.StatusOK}
	}
	base, err := parseIfMatch(request.IfMatch)
	if err != nil {
		return reject(http.StatusBadRequest, err)
	}
	switch {
	case base < Version(state.Horizon):
		return undecided() // it may have been applied, and its digest dropped from the history
	case base > Version(state.Version):
		return v.validateAhead(request)
	case base < Version(state.Version):
		return reject(http.StatusPreconditionFailed, errors.Errorf("version %d is current", state.Version))
	}
	return v.validateOnCurrent(state, request, digest)
}

// validateAhead validates a change based on a newer version than the current one. The change to that version may be in
// progress, and another copy of this request may be validated after it is applied. So a request is rejected only if it
// is invalid on every state.
func (v *Validator) validateAhead(request *message.ConfigRequest) replica.ValidationResult {
	var err error
	if request.Method == http.MethodPatch {
		_, err = readPatch(request.Body)
	} else {
		err = v.readPut(request.Body).err
	}
	if err != nil {
		return reject(http.StatusBadRequest, err)
	}
	return undecided()
}

// validateOnCurrent validates a change based on the current version.
func (v *Validator) validateOnCurrent(state *message.ChainState, request *message.ConfigRequest, digest []byte) replica.ValidationResult {
	if size := len(request.Body); size > replica.MaxDocumentBytes {
		return rejectSize(size)
	}
	var read *readResult
	if request.Method == http.MethodPatch {
		read = v.readPatch(state.Document, request.Body)
	} else {
		read = v.readPut(request.Body)
	}
	if read.err != nil {
		return reject(http.StatusBadRequest, read.err)
	}
	if size := len(read.text); size > replica.MaxDocumentBytes {
		return rejectSize(size)
	}
	if read.version <= Version(state.Version) {
		return reject(http.StatusBadRequest, errors.Errorf("version: %d is not above %d", read.version, state.Version))
	}
	change := message.Change{Version: uint64(read.version), Base: state.Version, Digest: digest}
	return replica.ValidationResult{Status: http.StatusOK, Apply: true, Change: change, Document: read.text}
}

func rejectSize(size int) replica.ValidationResult {
	err := errors.Errorf("%d bytes; at most %d are kept", size, replica.MaxDocumentBytes)
	return reject(http.StatusRequestEntityTooLarge, err)
}

// parseIfMatch reads the version that a change is based on from its If-Match header. The version may be quoted.
func parseIfMatch(header string) (Version, error) {
	version, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(header), `"`), 10, 64)
	if err != nil {
		return 0, errors.New("If-Match: a version is wanted")
	}
	return Version(version), nil
}

// undecided is the result for a request that gets no response yet. The member that relays it submits it again; after that
// member's time-out the operator's client sends it again.
func undecided() replica.ValidationResult { return replica.ValidationResult{} }

func reject(status int, err error) replica.ValidationResult {
	body, marshalErr := json.Marshal(map[string]string{"error": err.Error()})
	if marshalErr != nil {
		body = nil
	}
	return replica.ValidationResult{Status: status, Body: body}
}

// RequestDigest identifies a request by its method, base version and body, so a repeated request has the same digest.
// Digests are stored on disk, so their computation must never change.
func RequestDigest(request *message.ConfigRequest) []byte {
	hash := sha256.New()
	hash.Write([]byte(request.Method + "\n" + strings.TrimSpace(request.IfMatch) + "\n"))
	hash.Write(request.Body)
	return hash.Sum(nil)[:digestBytes]
}
