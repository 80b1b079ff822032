package replica

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/message"
)

func TestReplacements_IsReplacedBy(t *testing.T) {
	line := namedReplacements([][2]string{{"a1", "a2"}, {"b1", "b2"}, {"a2", "a3"}})
	for _, c := range []struct {
		name, machine string
		members       []string
		want          bool
	}{
		{"its successor is a member", "a1", []string{"a1", "a2"}, true},
		{"a later machine of its line is a member", "a1", []string{"a1", "a3"}, true},
		{"no later machine of its line is a member", "a2", []string{"a1", "a2", "b2"}, false},
		{"the newest machine of a line", "a3", []string{"a1", "a2", "a3"}, false},
		{"a machine without a line", "c1", []string{"a2", "b2", "c1"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, line.isReplacedBy(namedMember(c.machine), namedMembers(c.members)))
		})
	}
}

// A line of machines is kept as long as one of them is known: the others may return when a partition ends.
func TestReplacements_RemainingKeepsLinesOfKnownMachines(t *testing.T) {
	all := namedReplacements([][2]string{{"a1", "a2"}, {"b1", "b2"}, {"a2", "a3"}})
	assert.Equal(t, all, all.remaining(namedMembers([]string{"a3", "b1"})))
	assert.Equal(t, namedReplacements([][2]string{{"a1", "a2"}, {"a2", "a3"}}), all.remaining(namedMembers([]string{"a3", "c1"})))
	assert.Empty(t, all.remaining(namedMembers([]string{"c1"})))
	var many replacements
	for i := range 2 * maxReplacements {
		many = many.add(address(i), address(i+1))
	}
	remaining := many.remaining([]message.Member{{Address: address(2 * maxReplacements)}})
	assert.Equal(t, many[maxReplacements:], remaining, "the most recent ones")
}

// The address of a removed machine may be given to a new one, so a line must not return to a machine.
func TestReplacements_AddressUsedAgain(t *testing.T) {
	line := replacements{}.add("m1", "m2").add("m2", "m1")
	assert.Equal(t, "m1", line.newestOf("m2"))
	assert.Equal(t, "m1", line.newestOf("m1"))
}
