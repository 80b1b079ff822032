package jsonbound

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// count returns the number of values of decoded JSON.
func count(value any) int {
	values := 1
	switch decoded := value.(type) {
	case []any:
		for _, item := range decoded {
			values += count(item)
		}
	case map[string]any:
		for _, item := range decoded {
			values += count(item)
		}
	}
	return values
}

func TestMostValues_IsNotExceeded(t *testing.T) {
	for _, text := range []string{`1`, `{}`, `[]`, `[1,2,{"a":[{},{}],"b":"x,y"}]`, `{"a":{"b":{"c":[[],[[]]]}}}`} {
		var value any
		require.NoError(t, json.Unmarshal([]byte(text), &value))
		assert.LessOrEqual(t, count(value), MostValues([]byte(text)), text)
	}
}

func TestAllowance_HoldsForTextsTogether(t *testing.T) {
	allowance := NewAllowance(10)
	assert.NoError(t, allowance.Take([]byte(`[1,2,3]`)))
	assert.ErrorIs(t, allowance.Take([]byte(`[1,2,3,4,5,6]`)), ErrTooManyValues)
	assert.NoError(t, allowance.Take([]byte(`[1,2]`)))
}
