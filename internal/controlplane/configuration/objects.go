package configuration

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"github.com/samber/lo"

	"pumiceline/internal/docreader"
)

// objectKind says which members an object of a document may have. Members that it does not name are kept and not read.
type objectKind struct {
	texts   []string // names and paths, which appear in headers, request lines and labels
	numbers []numberField
	others  []string
}

// The objects of a document. A path in a request line has no spaces.
var (
	documentObject = objectKind{others: []string{"version", "routes", "services", "limits"}}
	serviceObject  = objectKind{
		texts: []string{"name", healthPathKey}, numbers: []numberField{maxConnectionsField}, others: []string{"runtime"},
	}
	runtimeObject = objectKind{
		numbers: []numberField{batchSizeField, cacheTokensField, weightCapacityField, adapterSlotsField, loadsPerSecondField},
		others:  []string{"models"},
	}
	modelObject = objectKind{
		texts: []string{"name"}, numbers: []numberField{modelWeightsField, loadSecondsField, adaptersField, adapterMBField},
	}
	routeObject = objectKind{
		texts:   []string{"name", "host", pathStartKey, "kind", "service"},
		numbers: []numberField{timeoutField, latencyTargetField, maxEventGapField, priorityField, maxAttemptsField},
		others:  []string{"split", "resumable"},
	}
	weightedServiceObject = objectKind{texts: []string{"service"}, numbers: []numberField{shareField}}
	limitsObject          = objectKind{
		numbers: []numberField{headerBytesField, bodyBytesField, headerTimeoutField, idleTimeoutField},
	}
)

// Keys of texts that stand in the request line of a request.
const (
	healthPathKey = "healthPath"
	pathStartKey  = "pathStart"
)

// hasKey reports whether a member with that key is read.
func (k *objectKind) hasKey(key string) bool {
	return k.containsKey(func(known string) bool { return known == key })
}

// isMisspelled reports whether a key differs in case only from one that is read.
func (k *objectKind) isMisspelled(key string) bool {
	return !k.hasKey(key) && k.containsKey(func(known string) bool { return strings.EqualFold(known, key) })
}

func (k *objectKind) containsKey(isWanted func(known string) bool) bool {
	isWantedNumber := func(field numberField) bool { return isWanted(field.key) }
	return slices.ContainsFunc(k.texts, isWanted) || slices.ContainsFunc(k.others, isWanted) ||
		slices.ContainsFunc(k.numbers, isWantedNumber)
}

// object is an object of a document that is not yet read.
type object struct {
	members map[string]any
	kind    *objectKind
	path    func() string // with a dot at the end, or empty; made only where there is a fault
}

// visitObjects calls visit with each object of a document, until it returns false. Values of a wrong type are passed
// over: they are reported when they are read.
func visitObjects(root map[string]any, path string, visit func(object) bool) {
	rootPath := func() string { return path }
	limits, _ := root["limits"].(map[string]any)
	_ = visit(object{root, &documentObject, rootPath}) &&
		visit(object{limits, &limitsObject, func() string { return path + "limits." }}) &&
		visitList(root, "services", rootPath, func(members map[string]any, path func() string) bool {
			return visitService(members, path, visit)
		}) &&
		visitList(root, "routes", rootPath, func(members map[string]any, path func() string) bool {
			return visit(object{members, &routeObject, path}) &&
				visitList(members, "split", path, func(members map[string]any, path func() string) bool {
					return visit(object{members, &weightedServiceObject, path})
				})
		})
}

func visitService(service map[string]any, path func() string, visit func(object) bool) bool {
	runtime, _ := service["runtime"].(map[string]any)
	runtimePath := func() string { return path() + "runtime." }
	return visit(object{service, &serviceObject, path}) && visit(object{runtime, &runtimeObject, runtimePath}) &&
		visitList(runtime, "models", runtimePath, func(members map[string]any, path func() string) bool {
			return visit(object{members, &modelObject, path})
		})
}

// visitList calls visit with each object of a list until it returns false, and reports whether it never did.
func visitList(parent map[string]any, key string, path func() string, visit func(members map[string]any, path func() string) bool) bool {
	items, _ := parent[key].([]any)
	for i, item := range items {
		members, _ := item.(map[string]any)
		if !visit(members, func() string { return fmt.Sprintf("%s%s[%d].", path(), key, i) }) {
			return false
		}
	}
	return true
}

// checkObjects records a fault for each member of a document that could not be held or passed on unchanged: a number
// out of its bounds, a text with control characters, and a key that a reader without regard to case takes for another.
// path is that of the document, with a dot at the end, or empty.
func checkObjects(root map[string]any, path string, findings *docreader.Findings) {
	visitObjects(root, path, func(o object) bool {
		keys := lo.Keys(o.members)
		slices.Sort(keys)
		for _, key := range keys {
			if fault := o.kind.fault(key, o.members[key]); fault != "" {
				findings.Add(o.path()+key, "%s", fault)
			}
		}
		return !findings.IsFull()
	})
}

// fault returns why a member of an object could not be held or passed on unchanged; empty: it can.
func (k *objectKind) fault(key string, value any) string {
	if text, isText := value.(string); isText && slices.Contains(k.texts, key) {
		return textFault(key, text)
	}
	for _, field := range k.numbers {
		if field.key == key {
			return field.fault(value)
		}
	}
	if k.isMisspelled(key) {
		return "is not a key: keys are told apart by case"
	}
	return ""
}

func textFault(key, text string) string {
	switch {
	case strings.ContainsFunc(text, unicode.IsControl):
		return "must not have control characters"
	case (key == healthPathKey || key == pathStartKey) && strings.ContainsFunc(text, unicode.IsSpace):
		return "must not have spaces"
	}
	return ""
}

// repairObjects makes a document that is in force say what its readers apply: numbers out of their bounds become the
// nearest bound, and members with a misspelled key, which no reader here has used, are left out.
func repairObjects(root map[string]any) {
	visitObjects(root, "", func(o object) bool {
		for key := range o.members {
			if o.kind.isMisspelled(key) {
				delete(o.members, key)
			}
		}
		for _, field := range o.kind.numbers {
			if number, ok := docreader.Finite(o.members[field.key]); ok && number != field.bounded(number) {
				o.members[field.key] = json.Number(strconv.FormatFloat(field.bounded(number), 'f', -1, 64))
			}
		}
		return true
	})
}

// checkAdapterCount records a fault if all models of a configuration have more adapters than placement can rank.
func checkAdapterCount(config *Config, services docreader.Node) {
	adapters := 0
	for _, service := range config.Services {
		if service.Runtime == nil {
			continue
		}
		for _, model := range service.Runtime.Models {
			adapters += model.Adapters
		}
	}
	if adapters > maxAllAdapters {
		services.AddFault("%d adapters in all; at most %d are placed", adapters, maxAllAdapters)
	}
}
