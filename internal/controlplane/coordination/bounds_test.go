package coordination

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/message"
)

func TestExecute_RejectsCallsBeyondTheBounds(t *testing.T) {
	longest := strings.Repeat("n", MaxNameBytes)
	tooLong := longest + "n"
	longestHold := MaxHold.Milliseconds()
	tests := []struct {
		name  string
		call  message.Call
		valid bool
	}{
		{"longest names of a lock and an owner", acquire(message.LockName(longest), message.OwnerName(longest), 1), true},
		{"name of a lock is too long", acquire(message.LockName(tooLong), "one", 1), false},
		{"name of an owner is too long", renew("l", message.OwnerName(tooLong), 1, 1), false},
		{"lock without a name", acquire("", "one", 1), false},
		{"owner without a name", release("l", "", 1), false},
		{"longest hold", acquire("l", "one", longestHold), true},
		{"hold is too long", acquire("l", "one", longestHold+1), false},
		{"hold of no time", acquire("l", "one", 0), false},
		{"renewal of no time", renew("l", "one", 1, 0), false},
		{"renewal of a negative time", renew("l", "one", 1, -1), false},
		{"longest key and value", put(message.KeyName(longest), strings.Repeat("v", MaxValueBytes), 0), true},
		{"key is too long", put(message.KeyName(tooLong), "v", 0), false},
		{"key without a name", put("", "v", 0), false},
		{"value is too long", put("g.a", strings.Repeat("v", MaxValueBytes+1), 0), false},
		{"empty value", put("g.a", "", 0), true},
		{"read of a key without a name", get(""), false},
		{"watch of a group without a name", watch("", 0, 0), false},
		{"watch of a group with a name that is too long", watch(message.KeyGroup(tooLong), 0, 0), false},
		{"watch of a group", watch("g.", 0, 0), true},
		{"watch of a key", watch("g.a", 0, 0), false},
		{"number", number(), true},
		{"no kind", message.Call{}, false},
		{"unknown kind", message.Call{Kind: message.CallWatch + 1}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := newTestStore()
			result := store.Execute(0, test.call)
			assert.Equal(t, test.valid, result.Answer.Status == StatusOK, "%+v", result.Answer)
			if !test.valid {
				assert.Equal(t, answerStatus(StatusInvalid), result)
			}
		})
	}
}
