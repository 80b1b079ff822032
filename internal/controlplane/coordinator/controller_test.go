package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/controlplane/placement/executor"
	"pumiceline/internal/message"
)

// A new lease holder waits for Bounds.Lease and Bounds.Thaw. It waits for less if backends check fencing tokens
// themselves.
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
		{"a later lease held", &membershipSnapshot{leaseToken: token + 1, leaseUntil: time.Now().Add(time.Hour)}, false},
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

// A list with more pages takes more calls, so it is polled less often, within the bound from the drain notice.
func TestController_PollIntervalFollowsPages(t *testing.T) {
	for _, c := range []struct {
		pages int
		drain time.Duration
		want  time.Duration
	}{
		{1, 3 * time.Second, 400 * time.Millisecond},
		{2, 3 * time.Second, 400 * time.Millisecond},
		{4, 4 * time.Second, 600 * time.Millisecond},
		{7, 4 * time.Second, time.Second},
		{200, 4 * time.Second, time.Second},
		{200, time.Second, 400 * time.Millisecond},
	} {
		controller := newController(&replicaLoop{}, &bootstrap.Settings{Bounds: bootstrap.Bounds{Drain: c.drain}})
		assert.Equal(t, leaseHolderPollInterval, controller.pollInterval(), "no list yet")
		controller.listed = &discovery.BackendList{Pages: c.pages}
		assert.Equal(t, c.want, controller.pollInterval(), "%d pages, drain notice of %v", c.pages, c.drain)
	}
}
