// Package docreader walks decoded JSON or YAML documents by path. It collects every finding together with its
// place, so that a file with several faults is reported once and whole.
package docreader

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"github.com/pkg/errors"
)

// Finding is one fault of a document.
type Finding struct {
	Place string // path of the value, such as "routes[3].timeoutMs"
	Text  string
}

// Findings collects the faults of one document.
type Findings struct{ all []Finding }

// Add records a fault at place.
func (f *Findings) Add(place, format string, args ...any) {
	f.all = append(f.all, Finding{Place: place, Text: fmt.Sprintf(format, args...)})
}

// All returns the faults in the order in which they were found.
func (f *Findings) All() []Finding { return f.all }

// Err returns nil when nothing was found, else one error that names every place.
func (f *Findings) Err() error {
	if len(f.all) == 0 {
		return nil
	}
	lines := make([]string, 0, len(f.all))
	for _, finding := range f.all {
		lines = append(lines, finding.Place+": "+finding.Text)
	}
	return errors.New(strings.Join(lines, "; "))
}

// Node is a value of a document together with its place.
type Node struct {
	value    any
	present  bool
	place    string
	findings *Findings
}

// Root makes the node of a whole document whose faults are added to findings.
func Root(value any, findings *Findings) Node {
	return Node{value: value, present: true, findings: findings}
}

// Place returns the path of the node.
func (n Node) Place() string { return n.place }

// Present reports whether the document has the node at all.
func (n Node) Present() bool { return n.present }

// Fault records a fault at the node.
func (n Node) Fault(format string, args ...any) { n.findings.Add(n.place, format, args...) }

// Get returns the member called name; a missing one is a node that is not present.
func (n Node) Get(name string) Node {
	place := name
	if n.place != "" {
		place = n.place + "." + name
	}
	member := Node{place: place, findings: n.findings}
	if object, ok := n.value.(map[string]any); ok {
		member.value, member.present = object[name]
	}
	return member
}

// Keys returns the names of an object's members.
func (n Node) Keys() []string {
	object, _ := n.value.(map[string]any)
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	return keys
}

// List returns the elements of a list; anything else that is present is a fault.
func (n Node) List() []Node {
	if !n.present || n.value == nil {
		return nil
	}
	list, ok := n.value.([]any)
	if !ok {
		n.Fault("a list is wanted")
		return nil
	}
	nodes := make([]Node, len(list))
	for i, value := range list {
		nodes[i] = Node{value: value, present: true, place: fmt.Sprintf("%s[%d]", n.place, i), findings: n.findings}
	}
	return nodes
}

// Text returns a string, or fallback where the node is missing.
func (n Node) Text(fallback string) string {
	if !n.present || n.value == nil {
		return fallback
	}
	text, ok := n.value.(string)
	if !ok {
		n.Fault("a text is wanted")
		return fallback
	}
	return text
}

// RequiredText returns a string that must be there and must not be empty.
func (n Node) RequiredText() string {
	text := n.Text("")
	if text == "" {
		n.Fault("must be given")
	}
	return text
}

// Number returns a finite number, or fallback where the node is missing.
func (n Node) Number(fallback float64) float64 {
	if !n.present || n.value == nil {
		return fallback
	}
	number, ok := asNumber(n.value)
	if !ok || math.IsNaN(number) || math.IsInf(number, 0) {
		n.Fault("a number is wanted")
		return fallback
	}
	return number
}

func asNumber(value any) (float64, bool) {
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

// Bool returns a truth value, or fallback where the node is missing.
func (n Node) Bool(fallback bool) bool {
	if !n.present || n.value == nil {
		return fallback
	}
	value, ok := n.value.(bool)
	if !ok {
		n.Fault("true or false is wanted")
		return fallback
	}
	return value
}
