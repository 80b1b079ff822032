package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/placement/executor"
	"pumiceline/internal/message"
)

// A new lease holder waits for the span that the rule on lease holders names, and for less where backends check fencing
// tokens themselves.
func TestController_HandoverDelay(t *testing.T) {
	bounds := bootstrap.Bounds{Lease: 3 * time.Second, Thaw: 300 * time.Millisecond}
	unchecked := &controller{settings: &bootstrap.Settings{Bounds: bounds}}
	assert.Equal(t, bounds.Lease+bounds.Thaw, unchecked.handoverDelay())
	bounds.ChecksFencingTokens = true
	checked := &controller{settings: &bootstrap.Settings{Bounds: bounds}}
	assert.Equal(t, executor.CommandTimeout+bounds.Thaw, checked.handoverDelay(), "the predecessor's last command has ended")
}

func TestController_CommandToken(t *testing.T) {
	const token = message.FencingToken(7)
	cases := []struct {
		name     string
		snapshot *membershipSnapshot
		allowed  bool
	}{
		{"no snapshot yet", nil, false},
		{"lease not held", &membershipSnapshot{}, false},
		{"lease held", &membershipSnapshot{leaseToken: token, leaseUntil: time.Now().Add(time.Hour)}, true},
		{"lease expired", &membershipSnapshot{leaseToken: token, leaseUntil: time.Now().Add(-time.Second)}, false},
		{"lease ends within the command's timeout",
			&membershipSnapshot{leaseToken: token, leaseUntil: time.Now().Add(executor.CommandTimeout)}, false},
		{"a later lease", &membershipSnapshot{leaseToken: token + 1, leaseUntil: time.Now().Add(time.Hour)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			loop := &replicaLoop{}
			loop.snapshot.Store(c.snapshot)
			given, allowed := (&controller{loop: loop}).commandToken(token)()
			assert.Equal(t, c.allowed, allowed)
			assert.Equal(t, token, given)
		})
	}
}
