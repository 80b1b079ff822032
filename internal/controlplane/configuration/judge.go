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

// Judge decides an operator's change on top of a state: it was taken before, it is to be applied, or it is refused
// with 412 (another version is current) or 400 (invalid; the body names the places).
func Judge(state *message.ChainState, call *message.ConfigRequest) replica.ValidationResult {
	digest := Digest(call)
	taken := func(change message.Change) bool { return bytes.Equal(change.Digest, digest) }
	if slices.ContainsFunc(state.History, taken) {
		return replica.ValidationResult{Status: http.StatusOK}
	}
	base, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(call.IfMatch), `"`), 10, 64)
	if err != nil {
		return refuse(http.StatusBadRequest, errors.New("If-Match: a version is wanted"))
	}
	if base < state.Horizon {
		return replica.ValidationResult{} // it may have been taken so long ago that nothing is known of it
	}
	if base > state.Version {
		return judgeAhead(call)
	}
	if base != state.Version {
		return refuse(http.StatusPreconditionFailed, errors.Errorf("version %d is current", state.Version))
	}
	document := call.Body
	if call.Method == http.MethodPatch {
		if document, err = patch(state.Document, call.Body); err != nil {
			return refuse(http.StatusBadRequest, err)
		}
	}
	if len(document) > replica.MaxDocumentBytes {
		return refuse(http.StatusRequestEntityTooLarge, errors.Errorf("%d bytes; at most %d are kept", len(document), replica.MaxDocumentBytes))
	}
	config, err := Parse(document)
	if err != nil {
		return refuse(http.StatusBadRequest, err)
	}
	if config.Version <= state.Version {
		return refuse(http.StatusBadRequest, errors.Errorf("version: %d is not above %d", config.Version, state.Version))
	}
	change := message.Change{Version: config.Version, Base: base, Digest: digest}
	return replica.ValidationResult{Status: http.StatusOK, Apply: true, Change: change, Document: document}
}

// judgeAhead decides a change on top of a version that is not in force yet. The change that brings that version may be
// under way, and a copy of this one may be judged again after it, so it must not be refused; what no state makes valid
// may be.
func judgeAhead(call *message.ConfigRequest) replica.ValidationResult {
	if call.Method == http.MethodPut {
		if _, err := Parse(call.Body); err != nil {
			return refuse(http.StatusBadRequest, err)
		}
	}
	return replica.ValidationResult{}
}

func refuse(status int, err error) replica.ValidationResult {
	body, marshalErr := json.Marshal(map[string]string{"error": err.Error()})
	if marshalErr != nil {
		body = nil
	}
	return replica.ValidationResult{Status: status, Body: body}
}

// Digest tells calls apart: a call that is sent again has the same one.
func Digest(call *message.ConfigRequest) []byte {
	hash := sha256.New()
	hash.Write([]byte(call.Method + "\n" + strings.TrimSpace(call.IfMatch) + "\n"))
	hash.Write(call.Body)
	return hash.Sum(nil)[:16]
}

// change is the body of PATCH.
type change struct {
	Version json.RawMessage              `json:"version"`
	Add     map[string][]json.RawMessage `json:"add"`
	Remove  map[string][]string          `json:"remove"`
}

// patch applies a change to named items of a document.
func patch(document, body []byte) ([]byte, error) {
	var wanted change
	if err := json.Unmarshal(body, &wanted); err != nil {
		return nil, errors.Wrap(err, "not a whole JSON object")
	}
	members := map[string]json.RawMessage{}
	if len(document) > 0 {
		if err := json.Unmarshal(document, &members); err != nil {
			return nil, errors.Wrap(err, "the configuration in force")
		}
	}
	members["version"] = wanted.Version
	for list, names := range wanted.Remove {
		if err := editList(members, list, func(items []json.RawMessage) ([]json.RawMessage, error) {
			return without(items, names)
		}); err != nil {
			return nil, err
		}
	}
	for list, added := range wanted.Add {
		if err := editList(members, list, func(items []json.RawMessage) ([]json.RawMessage, error) {
			return with(items, added)
		}); err != nil {
			return nil, err
		}
	}
	return json.Marshal(members)
}

func editList(members map[string]json.RawMessage, list string, edit func([]json.RawMessage) ([]json.RawMessage, error)) error {
	var items []json.RawMessage
	if len(members[list]) > 0 {
		if err := json.Unmarshal(members[list], &items); err != nil {
			return errors.Wrapf(err, "%s: no list", list)
		}
	}
	items, err := edit(items)
	if err != nil {
		return errors.Wrap(err, list)
	}
	if items == nil {
		items = []json.RawMessage{}
	}
	text, err := json.Marshal(items)
	members[list] = text
	return err
}

func nameOf(item json.RawMessage) (string, error) {
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(item, &named); err != nil {
		return "", errors.Wrap(err, "an item that is no object")
	}
	return named.Name, nil
}

func without(items []json.RawMessage, names []string) ([]json.RawMessage, error) {
	var kept []json.RawMessage
	for _, item := range items {
		name, err := nameOf(item)
		if err != nil {
			return nil, err
		}
		if !slices.Contains(names, name) {
			kept = append(kept, item)
		}
	}
	return kept, nil
}

func with(items, added []json.RawMessage) ([]json.RawMessage, error) {
	places := map[string]int{}
	for i, item := range items {
		name, err := nameOf(item)
		if err != nil {
			return nil, err
		}
		places[name] = i
	}
	for _, item := range added {
		name, err := nameOf(item)
		if err != nil {
			return nil, err
		}
		if at, ok := places[name]; ok {
			items[at] = item
			continue
		}
		places[name] = len(items)
		items = append(items, item)
	}
	return items, nil
}
