package delta

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const most = 1 << 20

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

func TestADifferenceMakesTheDocument(t *testing.T) {
	cases := []struct{ old, new string }{
		{"", ""}, {"", "a"}, {"a", ""}, {"abc", "abc"},
		{document(1, 50, -1), document(2, 50, 20)},
		{document(1, 50, -1), document(2, 51, 0)},
		{document(7, 51, 3), document(9, 20, -1)},
	}
	for _, c := range cases {
		difference := Make([]byte(c.old), []byte(c.new))
		made, err := Apply([]byte(c.old), difference, most)
		require.NoError(t, err)
		assert.Equal(t, c.new, string(made))
	}
}

// One changed route of 300 costs about as much as itself.
func TestADifferenceIsSmall(t *testing.T) {
	old, new := document(1, 300, -1), document(2, 300, 150)
	assert.Less(t, len(Make([]byte(old), []byte(new)))*50, len(new))
}

func TestWhatDoesNotFitIsRefused(t *testing.T) {
	old := []byte(document(1, 5, -1))
	difference := Make(old, []byte(document(2, 5, 3)))
	for cut := 1; cut < len(difference); cut++ {
		made, err := Apply(old, difference[:cut], most)
		if err == nil { // cut between two steps: a digest of the document tells
			assert.NotEqual(t, document(2, 5, 3), string(made))
		}
	}
	_, err := Apply(old[:10], difference, most)
	assert.ErrorIs(t, err, ErrMalformed)
	_, err = Apply(old, difference, 20)
	assert.ErrorIs(t, err, ErrMalformed, "larger than it may be")
}

func TestRandomDocuments(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	text := func() []byte {
		out := make([]byte, random.IntN(400))
		for i := range out {
			out[i] = `{},"ab]`[random.IntN(7)]
		}
		return out
	}
	for range 3000 {
		old, new := text(), text()
		made, err := Apply(old, Make(old, new), most)
		require.NoError(t, err)
		require.Equal(t, string(new), string(made))
	}
}

func FuzzApply(f *testing.F) {
	f.Add([]byte("old"), Make([]byte("old"), []byte("new")))
	f.Fuzz(func(t *testing.T, old, difference []byte) {
		made, err := Apply(old, difference, 1000)
		if err == nil && len(made) > 1000 {
			t.Fatal("larger than it may be")
		}
	})
}
