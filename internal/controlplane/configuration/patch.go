package configuration

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// patchBody is the body of a PATCH. Add holds the items to add to each list of the document, such as "routes"; Remove
// holds the names of the items to remove from it. Items are removed first. An added item replaces the item with the
// same name.
type patchBody struct {
	Version json.RawMessage              `json:"version"`
	Add     map[string][]json.RawMessage `json:"add"`
	Remove  map[string][]string          `json:"remove"`
}

// patch applies the body of a PATCH to a document.
func patch(document, body []byte) ([]byte, error) {
	if err := checkStrictJSON(body); err != nil {
		return nil, err
	}
	var request patchBody
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrap(err, "not a whole JSON object")
	}
	fields := map[string]json.RawMessage{}
	if len(document) > 0 {
		// Only the first value is read: an earlier version accepted closing brackets after it.
		if err := json.NewDecoder(bytes.NewReader(document)).Decode(&fields); err != nil {
			return nil, errors.Wrap(err, "the configuration in force")
		}
	}
	fields["version"] = request.Version
	for list, names := range request.Remove {
		remove := func(items []json.RawMessage) ([]json.RawMessage, error) { return removeItems(items, names) }
		if err := editList(fields, list, remove); err != nil {
			return nil, err
		}
	}
	for list, added := range request.Add {
		add := func(items []json.RawMessage) ([]json.RawMessage, error) { return addItems(items, added) }
		if err := editList(fields, list, add); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

// editList replaces a list of the document with the result of edit. A missing list counts as empty.
func editList(
	fields map[string]json.RawMessage, list string, edit func([]json.RawMessage) ([]json.RawMessage, error),
) error {
	var items []json.RawMessage
	if len(fields[list]) > 0 {
		if err := json.Unmarshal(fields[list], &items); err != nil {
			return errors.Wrapf(err, "%s: no list", list)
		}
	}
	items, err := edit(items)
	if err != nil {
		return errors.Wrap(err, list)
	}
	if items == nil {
		items = []json.RawMessage{} // encoded as [] rather than null
	}
	encoded, err := json.Marshal(items)
	fields[list] = encoded
	return err
}

func removeItems(items []json.RawMessage, names []string) ([]json.RawMessage, error) {
	isRemoved := make(map[string]bool, len(names))
	for _, name := range names {
		isRemoved[name] = true
	}
	var remaining []json.RawMessage
	for _, item := range items {
		name, err := itemName(item)
		if err != nil {
			return nil, err
		}
		if !isRemoved[name] {
			remaining = append(remaining, item)
		}
	}
	return remaining, nil
}

// addItems appends items. An added item replaces an existing item with the same name.
func addItems(items, added []json.RawMessage) ([]json.RawMessage, error) {
	indexByName := map[string]int{}
	for i, item := range items {
		name, err := itemName(item)
		if err != nil {
			return nil, err
		}
		indexByName[name] = i
	}
	for _, item := range added {
		name, err := itemName(item)
		if err != nil {
			return nil, err
		}
		if i, ok := indexByName[name]; ok {
			items[i] = item
			continue
		}
		indexByName[name] = len(items)
		items = append(items, item)
	}
	return items, nil
}

func itemName(item json.RawMessage) (string, error) {
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(item, &named); err != nil {
		return "", errors.Wrap(err, "an item that is no object")
	}
	return named.Name, nil
}
