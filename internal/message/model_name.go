package message

import "strings"

// ModelName names a model of a service or, with an adapter after a slash ("model/adapter"), an adapter of a base model.
type ModelName string

// adapterSeparator separates the base model and the adapter in a name.
const adapterSeparator = "/"

// Base returns the name without an adapter.
func (n ModelName) Base() ModelName {
	base, _, _ := strings.Cut(string(n), adapterSeparator)
	return ModelName(base)
}

// Adapter returns the adapter in the name; empty: the name has none.
func (n ModelName) Adapter() string {
	_, adapter, _ := strings.Cut(string(n), adapterSeparator)
	return adapter
}

// WithAdapter returns the name of an adapter of the model.
func (n ModelName) WithAdapter(adapter string) ModelName {
	return n + adapterSeparator + ModelName(adapter)
}
