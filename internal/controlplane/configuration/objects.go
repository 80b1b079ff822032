package configuration

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"unicode"

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

// keys returns the keys of the members that are read.
func (k *objectKind) keys() []string {
	keys := slices.Concat(k.texts, k.others)
	for _, field := range k.numbers {
		keys = append(keys, field.key)
	}
	return keys
}

// visitObjects calls visit with each object of a document. It ends early if the findings of the document are full.
func visitObjects(root docreader.Node, visit func(object docreader.Node, kind *objectKind)) {
	visit(root, &documentObject)
	for _, service := range root.Field("services").Items() {
		visit(service, &serviceObject)
		runtime := service.Field("runtime")
		visit(runtime, &runtimeObject)
		for _, model := range runtime.Field("models").Items() {
			if root.Findings().IsFull() {
				return
			}
			visit(model, &modelObject)
		}
	}
	for _, route := range root.Field("routes").Items() {
		if root.Findings().IsFull() {
			return
		}
		visit(route, &routeObject)
		for _, entry := range route.Field("split").Items() {
			visit(entry, &weightedServiceObject)
		}
	}
	visit(root.Field("limits"), &limitsObject)
}

// checkObjects records a fault for each member of a document that could not be held or passed on unchanged: a number
// out of its bounds, a text with control characters, and a key that a reader without regard to case takes for another.
func checkObjects(root docreader.Node) {
	visitObjects(root, func(object docreader.Node, kind *objectKind) {
		checkKeys(object, kind)
		checkTexts(object, kind)
		for _, field := range kind.numbers {
			field.check(object)
		}
	})
}

func checkKeys(object docreader.Node, kind *objectKind) {
	for _, key := range misspelledKeys(object, kind) {
		object.Field(key).AddFault("is not a key: keys are told apart by case")
	}
}

// misspelledKeys returns the keys of an object, in order, that differ in case only from one that is read.
func misspelledKeys(object docreader.Node, kind *objectKind) []string {
	keys := kind.keys()
	var misspelled []string
	for _, key := range object.Keys() {
		isOther := func(known string) bool { return key != known && strings.EqualFold(key, known) }
		if slices.ContainsFunc(keys, isOther) {
			misspelled = append(misspelled, key)
		}
	}
	slices.Sort(misspelled)
	return misspelled
}

func checkTexts(object docreader.Node, kind *objectKind) {
	for _, key := range kind.texts {
		field := object.Field(key)
		text, isText := field.IsText()
		switch {
		case !isText: // reported when it is read, or missing
		case strings.ContainsFunc(text, unicode.IsControl):
			field.AddFault("must not have control characters")
		case (key == healthPathKey || key == pathStartKey) && strings.ContainsFunc(text, unicode.IsSpace):
			field.AddFault("must not have spaces")
		}
	}
}

// repairObjects makes a document that is in force say what its readers apply: numbers out of their bounds become the
// nearest bound, and members with a misspelled key, which no reader here has used, are left out.
func repairObjects(root docreader.Node) {
	visitObjects(root, func(object docreader.Node, kind *objectKind) {
		members, isObject := object.Members()
		if !isObject {
			return
		}
		for _, key := range misspelledKeys(object, kind) {
			delete(members, key)
		}
		for _, field := range kind.numbers {
			if field.isOutOfBounds(object) {
				members[field.key] = json.Number(strconv.FormatFloat(field.read(object), 'f', -1, 64))
			}
		}
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
