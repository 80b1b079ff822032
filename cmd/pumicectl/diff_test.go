package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDiff(t *testing.T) {
	const current = `{"version":1,"routes":[{"name":"same","a":1,"b":2},{"name":"changed","a":1},{"name":"gone"}],"services":[]}`
	cases := []struct {
		name, target string
		want         []string
	}{
		{"no difference but version and order of keys",
			`{"version":2,"routes":[{"name":"same","b":2,"a":1},{"name":"changed","a":1},{"name":"gone"}]}`, nil},
		{"added, changed and removed items",
			`{"version":2,"routes":[{"name":"same","a":1,"b":2},{"name":"changed","a":2}],"services":[{"name":"new"}]}`,
			[]string{"+ services new", "- routes gone", "~ routes changed"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			lines, err := diff([]byte(current), []byte(c.target))
			require.NoError(t, err)
			assert.Equal(t, c.want, lines)
		})
	}
	_, err := diff([]byte(current), []byte(`{"routes":1}`))
	assert.ErrorContains(t, err, "the file: routes: ")
}
