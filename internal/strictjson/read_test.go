package strictjson

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A text may have as many values as the bound says, and no more.
func TestRead_BoundsValues(t *testing.T) {
	list := func(values int) []byte { return []byte("[" + strings.Repeat("0,", values-2) + "0]") } // the list is one of them
	_, err := Read(list(MaxValues))
	assert.NoError(t, err)
	_, err = Read(list(MaxValues + 1))
	assert.ErrorContains(t, err, "more than 262144 values")
}

func TestRead_RefusesWhatReadersReadDifferently(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"a key twice", `{"a":1,"a":1}`, `the document: the key "a" stands twice`},
		{"keys that differ in case", `{"a":{"version":1,"Version":2}}`, `a: the keys "version" and "Version" differ in case only`},
		{"a long s", `{"routes":1,"route\u017f":2}`, "differ in case only"},
		{"a Kelvin sign", `{"key":1,"\u212aey":2}`, "differ in case only"},
		{"a key twice by an escape", `{"a":1,"\u0061":2}`, "stands twice"},
		{"first half of a pair", `["\ud800"]`, "half of a character"},
		{"second half of a pair", `["\uDC00"]`, "half of a character"},
		{"two first halves", `["\ud800\ud800"]`, "half of a character"},
		{"half before a letter", `["\ud800x"]`, "half of a character"},
		{"half before another escape", `["\ud800\n\udc00"]`, "half of a character"},
		{"half at the end", `["\ud800`, "half of a character"},
		{"a number beyond all floats", `[1e999]`, "out of range"},
		{"a number below all floats", `{"x":-1e309}`, "x: the number -1e309 is out of range"},
		{"two values", `{}{}`, "text after the JSON value"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Read([]byte(c.text))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestRead_AcceptsWhatReadersReadAlike(t *testing.T) {
	for _, text := range []string{
		`"\ud83d\ude00"`, `"\\ud800"`, `"\u00e9"`, `{"a":{"b":1},"c":{"b":2}}`, ` [1, 2.50, 1e308] `, `null`, `{"s":"x","ss":"y"}`,
	} {
		value, err := Read([]byte(text))
		require.NoError(t, err, text)
		assert.Equal(t, decodeLeniently(t, []byte(text)), value, text)
	}
}

// decodeLeniently decodes a text by the standard library alone.
func decodeLeniently(t *testing.T, text []byte) any {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	require.NoError(t, decoder.Decode(&value))
	return value
}

// What Read accepts is valid JSON, and a reader that is no part of this package gets the same value.
func FuzzRead(f *testing.F) {
	for _, text := range []string{`{"a":[1,"\ud83d\ude00",null]}`, `{"a":1}}`, `["\ud800"]`, `{"k":1,"\u212a":2}`, "\"\\ud800\\", `[1e999]`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		value, err := Read(text)
		if err != nil {
			return
		}
		require.True(t, json.Valid(text))
		require.Equal(t, decodeLeniently(t, text), value)
		encoded, err := json.Marshal(value)
		require.NoError(t, err)
		again, err := Read(encoded)
		require.NoError(t, err)
		require.Equal(t, value, again)
	})
}
