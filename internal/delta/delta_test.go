package delta

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const maxBytes = 1 << 20

// document returns a configuration. The route with the index changed has a different time-out from the others; -1:
// none.
func document(version, routes int, changed int) string {
	var items []string
	for i := range routes {
		timeout := 5000
		if i == changed {
			timeout = 7000
		}
		items = append(items, fmt.Sprintf(`{"name":"r-%d","host":"h.example","pathStart":"/p%d/","timeoutMs":%d}`, i, i, timeout))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[]}`, version, strings.Join(items, ","))
}

func TestApply_RestoresDocument(t *testing.T) {
	cases := []struct{ name, old, target string }{
		{"both empty", "", ""},
		{"from empty", "", "a"},
		{"to empty", "a", ""},
		{"equal", "abc", "abc"},
		{"changed item", document(1, 50, -1), document(2, 50, 20)},
		{"added item", document(1, 50, -1), document(2, 51, 0)},
		{"removed items", document(7, 51, 3), document(9, 20, -1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			encoded := Make([]byte(c.old), []byte(c.target))
			restored, err := Apply([]byte(c.old), encoded, maxBytes)
			require.NoError(t, err)
			assert.Equal(t, c.target, string(restored))
		})
	}
}

// A delta for one changed route of 300 is about as large as that route: less than a 50th of the document.
func TestMake_DeltaIsAboutAsLargeAsChange(t *testing.T) {
	old, target := document(1, 300, -1), document(2, 300, 150)
	assert.Less(t, len(Make([]byte(old), []byte(target)))*50, len(target))
}

func TestApply_RejectsMalformedDelta(t *testing.T) {
	old := []byte(document(1, 5, -1))
	encoded := Make(old, []byte(document(2, 5, 3)))
	for cut := 1; cut < len(encoded); cut++ {
		restored, err := Apply(old, encoded[:cut], maxBytes)
		if err == nil { // a delta cut between two instructions is well-formed: only a digest of the document reveals it
			assert.NotEqual(t, document(2, 5, 3), string(restored))
		}
	}
	_, err := Apply(old[:10], encoded, maxBytes)
	assert.ErrorIs(t, err, ErrMalformed)
	_, err = Apply(old, encoded, 20)
	assert.ErrorIs(t, err, ErrMalformed, "over the limit")
}

func TestApply_RestoresRandomDocuments(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	text := func() []byte {
		out := make([]byte, random.IntN(400))
		for i := range out {
			out[i] = `{},"ab]`[random.IntN(7)]
		}
		return out
	}
	for range 3000 {
		old, target := text(), text()
		restored, err := Apply(old, Make(old, target), maxBytes)
		require.NoError(t, err)
		require.Equal(t, string(target), string(restored))
	}
}

func FuzzApply(f *testing.F) {
	f.Add([]byte("old"), Make([]byte("old"), []byte("new")))
	f.Fuzz(func(t *testing.T, old, encoded []byte) {
		restored, err := Apply(old, encoded, 1000)
		if err == nil && len(restored) > 1000 {
			t.Fatal("over the limit")
		}
	})
}
