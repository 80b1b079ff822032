package message

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestModelName_Parts(t *testing.T) {
	for _, c := range []struct {
		name    ModelName
		base    ModelName
		adapter string
	}{
		{"", "", ""},
		{"m", "m", ""},
		{"m/a1", "m", "a1"},
		{"m/a/b", "m", "a/b"},
	} {
		t.Run(string(c.name), func(t *testing.T) {
			assert.Equal(t, c.base, c.name.Base())
			assert.Equal(t, c.adapter, c.name.Adapter())
			if c.adapter != "" {
				assert.Equal(t, c.name, c.base.WithAdapter(c.adapter))
			}
		})
	}
}

func TestBackend_Holds(t *testing.T) {
	backend := Backend{Models: []LoadedModel{{Name: "m", Adapters: []string{"a1", "a2"}}, {Name: "n"}}}
	for name, want := range map[ModelName]bool{
		"m": true, "n": true, "o": false, "m/a1": true, "m/a2": true, "m/a3": false, "n/a1": false, "o/a1": false,
	} {
		t.Run(string(name), func(t *testing.T) { assert.Equal(t, want, backend.Holds(name)) })
	}
}
