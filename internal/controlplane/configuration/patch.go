package configuration

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// patchBody is the body of a PATCH. Add and Remove hold items and their names by list, such as "routes". Items are
// removed first; an added one replaces the item of the same name.
type patchBody struct {
	Version json.RawMessage              `json:"version"`
	Add     map[string][]json.RawMessage `json:"add"`
	Remove  map[string][]string          `json:"remove"`
}

// patch applies the body of a PATCH to a document.
func patch(document, body []byte) ([]byte, error) {
	var request patchBody
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrap(err, "not a whole JSON object")
	}
	members := map[string]json.RawMessage{}
	if len(document) > 0 {
		if err := json.Unmarshal(document, &members); err != nil {
			return nil, errors.Wrap(err, "the configuration in force")
		}
	}
	members["version"] = request.Version
	for list, names := range request.Remove {
		remove := func(items []json.RawMessage) ([]json.RawMessage, error) { return removeItems(items, names) }
		if err := editList(members, list, remove); err != nil {
			return nil, err
		}
	}
	for list, added := range request.Add {
		add := func(items []json.RawMessage) ([]json.RawMessage, error) { return addItems(items, added) }
		if err := editList(members, list, add); err != nil {
			return nil, err
		}
	}
	return json.Marshal(members)
}

// editList replaces a list of the document by what edit makes of it. A missing list is an empty one.
func editList(
	members map[string]json.RawMessage, list string, edit func([]json.RawMessage) ([]json.RawMessage, error),
) error {
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
		items = []json.RawMessage{} // not null
	}
	encoded, err := json.Marshal(items)
	members[list] = encoded
	return err
}

func removeItems(items []json.RawMessage, names []string) ([]json.RawMessage, error) {
	var remaining []json.RawMessage
	for _, item := range items {
		name, err := itemName(item)
		if err != nil {
			return nil, err
		}
		if !slices.Contains(names, name) {
			remaining = append(remaining, item)
		}
	}
	return remaining, nil
}

// addItems appends items, or puts them in place of those of the same name.
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
