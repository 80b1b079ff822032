package strictjson

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Decode reads a text to its end: a decoder of encoding/json stops after the first value.
func TestDecode_ReadsWholeText(t *testing.T) {
	const maxBytes = 20
	for text, want := range map[string]string{
		`{"a":7}`: "", `{"a":7} `: "", `{"a":7}}`: "text after the JSON value", `{"a":7}{"a":8}`: "text after the JSON value",
		`{"a":7,"A":8}`: "differ in case only", `{"a":7`: "unexpected EOF", `{"a":"x"}`: "cannot unmarshal",
		`{"a":7}` + strings.Repeat(" ", maxBytes): ErrTooLarge.Error(),
	} {
		var target struct{ A int }
		err := Decode(strings.NewReader(text), maxBytes, &target)
		if want == "" {
			require.NoError(t, err, text)
			assert.Equal(t, 7, target.A)
			continue
		}
		assert.ErrorContains(t, err, want, text)
	}
}
