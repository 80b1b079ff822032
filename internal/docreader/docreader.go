// Package docreader reads decoded JSON or YAML documents by path. It collects every fault together with the path of the
// value, so that a document with several faults is reported at once.
//
// A caller walks from Root through Field and Items to the values. A value of the wrong type is recorded as a fault and
// reads as its fallback, so the caller needs only one check at the end: Findings.Err returns all faults.
package docreader

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Finding is one fault of a document.
type Finding struct {
	Path    string // of the value, such as "routes[3].timeoutMs"
	Message string
}

// String returns the finding as one line.
func (f Finding) String() string { return f.Path + ": " + f.Message }

// maxFindings bounds the faults that are kept of one document.
const maxFindings = 100

// Findings collects the faults of one document, up to maxFindings.
type Findings struct {
	all     []Finding
	hasMore bool // than all
}

// Add records a fault at a path. A fault that is recorded already is not repeated.
func (f *Findings) Add(path, format string, args ...any) {
	if f.hasMore {
		return
	}
	finding := Finding{Path: path, Message: fmt.Sprintf(format, args...)}
	if slices.Contains(f.all, finding) {
		return
	}
	if len(f.all) == maxFindings {
		f.hasMore = true
		return
	}
	f.all = append(f.all, finding)
}

// IsFull reports whether no further fault is kept, so that the rest of the document need not be read.
func (f *Findings) IsFull() bool { return f.hasMore }

// Err returns an *Error with the faults, or nil if there are none.
func (f *Findings) Err() error {
	if len(f.all) == 0 {
		return nil
	}
	return &Error{Findings: f.all, HasMore: f.hasMore}
}

// Error reports the first faults of a document, in the order in which they were found.
type Error struct {
	Findings []Finding
	HasMore  bool // there are more faults than Findings
}

// Error returns the findings in one line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, finding := range e.Findings {
		lines = append(lines, finding.String())
	}
	if e.HasMore {
		lines = append(lines, "and more faults")
	}
	return strings.Join(lines, "; ")
}

// Node is a value of a document together with its path. It may be missing, see IsPresent: reading it then gives the
// fallback.
type Node struct {
	value     any
	isPresent bool
	path      string
	findings  *Findings
}

// Root returns the node of a document whose faults are added to findings. The value consists of map[string]any, []any,
// string, bool, nil and numbers, as encoding/json and YAML decode it.
func Root(value any, findings *Findings) Node {
	return Node{value: value, isPresent: true, findings: findings}
}

// Path returns the location of the node in the document, such as "routes[3].timeoutMs".
func (n Node) Path() string { return n.path }

// Findings returns what collects the faults of the node's document.
func (n Node) Findings() *Findings { return n.findings }

// IsPresent reports whether the document has the node, even if its value is null.
func (n Node) IsPresent() bool { return n.isPresent }

// AddFault records a fault at the node.
func (n Node) AddFault(format string, args ...any) { n.findings.Add(n.path, format, args...) }

// Field returns a member of an object. If there is no such member, the node is not present.
func (n Node) Field(name string) Node {
	path := name
	if n.path != "" {
		path = n.path + "." + name
	}
	field := Node{path: path, findings: n.findings}
	if object, ok := n.value.(map[string]any); ok {
		field.value, field.isPresent = object[name]
	}
	return field
}

// Members returns the members of an object. They may be changed until the object is read.
func (n Node) Members() (members map[string]any, ok bool) {
	members, ok = n.value.(map[string]any)
	return members, ok && members != nil
}

// Keys returns the names of an object's members in unspecified order. Any other value has none.
func (n Node) Keys() []string {
	object, _ := n.value.(map[string]any)
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	return keys
}

// Items returns the elements of a list. A missing or null node has none; any other value is a fault.
func (n Node) Items() []Node {
	if n.IsMissing() {
		return nil
	}
	list, ok := n.value.([]any)
	if !ok {
		n.AddFault("a list is wanted")
		return nil
	}
	nodes := make([]Node, len(list))
	for i, value := range list {
		nodes[i] = Node{value: value, isPresent: true, path: fmt.Sprintf("%s[%d]", n.path, i), findings: n.findings}
	}
	return nodes
}

// Text returns a string, or fallback if the node is missing.
func (n Node) Text(fallback string) string { return read[string](n, fallback, "a text is wanted") }

// RequiredText returns a string. A missing or empty one is a fault.
func (n Node) RequiredText() string {
	text := n.Text("")
	if text == "" {
		n.AddFault("must be given")
	}
	return text
}

// Bool returns a boolean, or fallback if the node is missing.
func (n Node) Bool(fallback bool) bool { return read[bool](n, fallback, "true or false is wanted") }

// Number returns a finite number, or fallback if the node is missing.
func (n Node) Number(fallback float64) float64 {
	if n.IsMissing() {
		return fallback
	}
	number, ok := n.FiniteNumber()
	if !ok {
		n.AddFault("a number is wanted")
		return fallback
	}
	return number
}

// FiniteNumber returns the number at the node. ok is false if there is none; this is not recorded as a fault.
func (n Node) FiniteNumber() (number float64, ok bool) {
	return Finite(n.value)
}

// Finite returns a decoded value as a finite number. ok is false if it is none.
func Finite(value any) (number float64, ok bool) {
	number, ok = toFloat(value)
	return number, ok && !math.IsNaN(number) && !math.IsInf(number, 0)
}

// WholeNumber returns the number at the node, without rounding it, if it is written as digits only and below 2^64. This
// holds for decoded JSON whose numbers are kept as json.Number.
func (n Node) WholeNumber() (number uint64, ok bool) {
	text, isNumber := n.value.(json.Number)
	if !isNumber {
		return 0, false
	}
	number, err := strconv.ParseUint(text.String(), 10, 64)
	return number, err == nil
}

// IsMissing reports whether the node is absent or null, so that reading it gives the fallback.
func (n Node) IsMissing() bool { return !n.isPresent || n.value == nil }

// read returns the node's value, or fallback if it is missing. For a value of another type it records the fault and
// returns fallback.
func read[T any](n Node, fallback T, fault string) T {
	if n.IsMissing() {
		return fallback
	}
	value, ok := n.value.(T)
	if !ok {
		n.AddFault("%s", fault)
		return fallback
	}
	return value
}

func toFloat(value any) (float64, bool) {
	switch v := value.(type) {
	case float64:
		return v, true
	case int:
		return float64(v), true
	case int64:
		return float64(v), true
	case uint64:
		return float64(v), true
	case json.Number:
		number, err := v.Float64()
		return number, err == nil
	}
	return 0, false
}
