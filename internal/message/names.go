package message

import "strings"

// adapterSeparator stands between a model and its adapter in a name.
const adapterSeparator = "/"

// ModelOf returns the model of a name that may have an adapter.
func ModelOf(name string) string {
	model, _, _ := strings.Cut(name, adapterSeparator)
	return model
}

// AdapterOf returns the adapter of a name, empty where it has none.
func AdapterOf(name string) string {
	_, adapter, _ := strings.Cut(name, adapterSeparator)
	return adapter
}

// Holds reports whether the backend holds a model, and its adapter where the name has one.
func (b *Backend) Holds(name string) bool {
	model, adapter := ModelOf(name), AdapterOf(name)
	for _, held := range b.Models {
		if held.Name != model {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, other := range held.Adapters {
			if other == adapter {
				return true
			}
		}
	}
	return false
}
