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

// digestBytes is how much of a request's SHA-256 is kept.
const digestBytes = 16

// Validate decides an operator's PUT or PATCH on top of a state. The result's status is
//
//	200  it was applied before, or is valid and to be applied (Apply)
//	400  it is invalid; the body names the faults
//	412  another version is current than the one that it is based on
//	413  the document is too large
//	0    undecided
//
// A rejection is final: a repetition of the request may still be in progress, and must not be applied once the operator has
// the rejection. So a request that could become valid on a later state stays undecided.
func Validate(state *message.ChainState, request *message.ConfigRequest) replica.ValidationResult {
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
		return undecided() // it may have been applied so long ago that its digest is forgotten
	case base > Version(state.Version):
		return validateAhead(request)
	case base < Version(state.Version):
		return reject(http.StatusPreconditionFailed, errors.Errorf("version %d is current", state.Version))
	}
	return validateOnCurrent(state, request, digest)
}

// validateAhead decides a change based on a version that is not in force yet. The change that brings that version may be
// in progress, and a repetition of this request may be decided after it. So a request is rejected only where it is invalid
// on every state.
func validateAhead(request *message.ConfigRequest) replica.ValidationResult {
	if request.Method == http.MethodPut {
		if _, err := Parse(request.Body); err != nil {
			return reject(http.StatusBadRequest, err)
		}
	}
	return undecided()
}

// validateOnCurrent decides a change based on the version in force.
func validateOnCurrent(state *message.ChainState, request *message.ConfigRequest, digest []byte) replica.ValidationResult {
	document := request.Body
	if request.Method == http.MethodPatch {
		var err error
		if document, err = patch(state.Document, request.Body); err != nil {
			return reject(http.StatusBadRequest, err)
		}
	}
	if size := len(document); size > replica.MaxDocumentBytes {
		err := errors.Errorf("%d bytes; at most %d are kept", size, replica.MaxDocumentBytes)
		return reject(http.StatusRequestEntityTooLarge, err)
	}
	config, err := Parse(document)
	if err != nil {
		return reject(http.StatusBadRequest, err)
	}
	if config.Version <= Version(state.Version) {
		return reject(http.StatusBadRequest, errors.Errorf("version: %d is not above %d", config.Version, state.Version))
	}
	change := message.Change{Version: uint64(config.Version), Base: state.Version, Digest: digest}
	return replica.ValidationResult{Status: http.StatusOK, Apply: true, Change: change, Document: document}
}

// parseIfMatch reads the version that a change is based on from its If-Match header, where it may be quoted.
func parseIfMatch(header string) (Version, error) {
	version, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(header), `"`), 10, 64)
	if err != nil {
		return 0, errors.New("If-Match: a version is wanted")
	}
	return Version(version), nil
}

// undecided is the result for a request that gets no response yet: the operator's client sends it again.
func undecided() replica.ValidationResult { return replica.ValidationResult{} }

func reject(status int, err error) replica.ValidationResult {
	body, marshalErr := json.Marshal(map[string]string{"error": err.Error()})
	if marshalErr != nil {
		body = nil
	}
	return replica.ValidationResult{Status: status, Body: body}
}

// RequestDigest identifies a request by its method, base and body: one that is sent again has the same digest. Digests
// are stored, so it must never change.
func RequestDigest(request *message.ConfigRequest) []byte {
	hash := sha256.New()
	hash.Write([]byte(request.Method + "\n" + strings.TrimSpace(request.IfMatch) + "\n"))
	hash.Write(request.Body)
	return hash.Sum(nil)[:digestBytes]
}
