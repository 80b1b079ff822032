package docreader

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestNode_ReadsValuesAndFallbacks(t *testing.T) {
	findings := &Findings{}
	root := Root(map[string]any{
		"text": "a", "number": json.Number("2.5"), "yes": true, "null": nil,
		"list": []any{map[string]any{"name": "first"}, map[string]any{"name": "second"}},
	}, findings)
	assert.Equal(t, "a", root.Field("text").Text("fallback"))
	assert.Equal(t, 2.5, root.Field("number").Number(1))
	assert.True(t, root.Field("yes").Bool(false))
	assert.Equal(t, "fallback", root.Field("null").Text("fallback"))
	assert.Equal(t, 1.0, root.Field("missing").Field("deeper").Number(1))
	assert.True(t, root.Field("null").IsPresent())
	assert.False(t, root.Field("missing").IsPresent())
	items := root.Field("list").Items()
	require.Len(t, items, 2)
	assert.Equal(t, "second", items[1].Field("name").RequiredText())
	assert.Equal(t, "list[1].name", items[1].Field("name").Path())
	assert.NoError(t, findings.Err())
}

// Each value of a wrong type must read as its fallback and be reported with its path.
func TestNode_ReportsEveryFault(t *testing.T) {
	findings := &Findings{}
	root := Root(map[string]any{"text": 1, "number": "x", "flag": "x", "list": "x", "infinite": math.Inf(1)}, findings)
	assert.Equal(t, "fallback", root.Field("text").Text("fallback"))
	assert.Equal(t, 1.0, root.Field("number").Number(1))
	assert.True(t, root.Field("flag").Bool(true))
	assert.Nil(t, root.Field("list").Items())
	assert.Equal(t, 1.0, root.Field("infinite").Number(1))
	assert.Empty(t, root.Field("missing").RequiredText())
	err := findings.Err()
	var faults *Error
	require.ErrorAs(t, err, &faults)
	assert.Equal(t, []Finding{
		{"text", "a text is wanted"}, {"number", "a number is wanted"}, {"flag", "true or false is wanted"},
		{"list", "a list is wanted"}, {"infinite", "a number is wanted"}, {"missing", "must be given"},
	}, faults.Findings)
	assert.EqualError(t, (&Error{Findings: faults.Findings[:2]}), "text: a text is wanted; number: a number is wanted")
}

// Of many faults the first are kept, and the error says that there are more.
func TestFindings_KeepsFirstFaults(t *testing.T) {
	findings := &Findings{}
	for i := range maxFindings {
		findings.Add("field", "fault %d", i)
		findings.Add("field", "fault %d", i)
	}
	assert.False(t, findings.IsFull())
	assert.NotContains(t, findings.Err().Error(), "more faults")
	findings.Add("field", "one more")
	assert.True(t, findings.IsFull())
	var err *Error
	assert.ErrorAs(t, findings.Err(), &err)
	assert.Len(t, err.Findings, maxFindings)
	assert.ErrorContains(t, err, "field: fault 99; and more faults")
}
