package configuration

import (
	"slices"

	"github.com/samber/lo"

	"pumiceline/internal/docreader"
	"pumiceline/internal/strictjson"
)

// namedLists are the lists of a document whose items have names, so that a PATCH can change them.
var namedLists = []string{"routes", "services"}

// listPatch is what a PATCH changes in one list of a document. Items are removed first. An added item replaces the item
// with the same name.
type listPatch struct {
	removed map[string]bool // by name
	added   []any
}

// patchBody is the body of a PATCH, read once.
type patchBody struct {
	version any
	lists   map[string]listPatch // by the keys in namedLists
}

// readPatch reads the body of a PATCH. The error names every fault that does not depend on the document to be changed.
func readPatch(text []byte) (*patchBody, error) {
	members, err := strictjson.ReadObject(text)
	if err != nil {
		return nil, err
	}
	findings := &docreader.Findings{}
	root := docreader.Root(members, findings)
	checkOnlyKeys(root, "version", "add", "remove")
	checkOnlyKeys(root.Field("add"), namedLists...)
	checkOnlyKeys(root.Field("remove"), namedLists...)
	readRequiredVersion(root)
	if added, isObject := members["add"].(map[string]any); isObject {
		checkObjects(added, "add.", findings)
	}
	body := &patchBody{version: members["version"], lists: map[string]listPatch{}}
	for _, list := range namedLists {
		body.lists[list] = readListPatch(root, list)
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return body, nil
}

// checkOnlyKeys records a fault for each member that is none of some keys: it would be acknowledged without an effect.
func checkOnlyKeys(object docreader.Node, keys ...string) {
	if _, isObject := object.Members(); !isObject && !object.IsMissing() {
		object.AddFault("an object is wanted")
	}
	unknown := lo.Without(object.Keys(), keys...)
	slices.Sort(unknown)
	for _, key := range unknown {
		object.Field(key).AddFault("cannot be changed by a PATCH; the keys are %q", keys)
	}
}

func readListPatch(root docreader.Node, list string) listPatch {
	patch := listPatch{removed: map[string]bool{}}
	for _, name := range root.Field("remove").Field(list).Items() {
		patch.removed[name.Text("")] = true
	}
	isAdded := map[string]bool{}
	for _, item := range root.Field("add").Field(list).Items() {
		name := item.Field("name").RequiredText()
		if name != "" && isAdded[name] {
			item.Field("name").AddFault("the name %q stands twice", name)
		}
		isAdded[name] = true
		members, _ := item.Members() // without any it has no name, which is a fault
		patch.added = append(patch.added, members)
	}
	return patch
}

// patched returns the document after a PATCH, or the faults of the result.
func (d *Document) patched(body *patchBody) (*Document, error) {
	members := make(map[string]any, len(d.members))
	for key, value := range d.members {
		members[key] = value
	}
	members["version"] = body.version
	for list, patch := range body.lists {
		if _, isPresent := members[list]; !isPresent && len(patch.added) == 0 {
			continue
		}
		items, _ := members[list].([]any) // the document was read, so it is a list or null
		members[list] = patch.apply(items)
	}
	return acceptDocument(members, &docreader.Findings{})
}

// apply returns the items of a list after the patch. The given list is not modified.
func (p *listPatch) apply(items []any) []any {
	result := lo.Reject(items, func(item any, _ int) bool { return p.removed[itemName(item)] })
	indexByName := make(map[string]int, len(result))
	for i, item := range result {
		indexByName[itemName(item)] = i
	}
	for _, item := range p.added {
		if i, isReplaced := indexByName[itemName(item)]; isReplaced {
			result[i] = item
			continue
		}
		result = append(result, item)
	}
	return result
}

// itemName returns the name of an item of a document that was read, so that each item has one.
func itemName(item any) string {
	members, _ := item.(map[string]any)
	name, _ := members["name"].(string)
	return name
}
