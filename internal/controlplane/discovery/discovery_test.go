package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/message"
)

func TestBackendList_IsNewerThan(t *testing.T) {
	read := time.Unix(1000, 0)
	list := func(after time.Duration, token message.FencingToken, number uint64) *BackendList {
		revision := message.BackendsRevision{Token: token, Number: number}
		return &BackendList{ObservedAt: read.Add(after), Revision: revision}
	}
	for _, c := range []struct {
		name        string
		list, other *BackendList
		want        bool
	}{
		{"no other list", list(0, 0, 0), nil, true},
		{"the other is the zero list", list(0, 0, 0), &BackendList{}, true},
		{"read later", list(time.Millisecond, 0, 0), list(0, 0, 0), true},
		{"read at the same time", list(0, 0, 0), list(0, 0, 0), false},
		{"same reading, later revision", list(0, 7, 2), list(0, 7, 1), true},
		{"same list again, read later by another clock", list(time.Millisecond, 7, 2), list(0, 7, 2), false},
		{"earlier revision, read later by another clock", list(time.Millisecond, 7, 1), list(0, 7, 2), false},
		{"later revision, read earlier by another clock", list(-time.Millisecond, 7, 3), list(0, 7, 2), true},
		{"another lease, read later", list(time.Millisecond, 8, 1), list(0, 7, 9), true},
		{"another lease, read earlier", list(-time.Millisecond, 8, 1), list(0, 7, 9), false},
		{"without a revision, read later", list(time.Millisecond, 0, 0), list(0, 7, 9), true},
	} {
		assert.Equal(t, c.want, c.list.IsNewerThan(c.other), c.name)
	}
}
