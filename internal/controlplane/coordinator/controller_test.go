package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/placement/executor"
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
