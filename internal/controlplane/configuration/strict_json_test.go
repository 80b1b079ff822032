package configuration

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A text may have as many values as the bound says, and no more.
func TestCheckStrictJSON_BoundsValues(t *testing.T) {
	list := func(values int) []byte { return []byte("[" + strings.Repeat("0,", values-2) + "0]") } // the list is one of them
	assert.NoError(t, checkStrictJSON(list(maxValues)))
	assert.ErrorContains(t, checkStrictJSON(list(maxValues+1)), "more than 262144 values")
}
