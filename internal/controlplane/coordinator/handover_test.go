package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/placement"
)

// The rule on holders names a span in which they may not take turns; it goes by the backends' own check where they have one.
func TestANewHolderWaitsByWhatBackendsCheck(t *testing.T) {
	bounds := bootstrap.Bounds{Lease: 3 * time.Second, Thaw: 300 * time.Millisecond}
	unchecked := &controller{settings: &bootstrap.Settings{Bounds: bounds}}
	assert.Equal(t, bounds.Lease+bounds.Thaw, unchecked.handoverPause())
	bounds.ChecksFence = true
	checked := &controller{settings: &bootstrap.Settings{Bounds: bounds}}
	assert.Equal(t, placement.OrderTimeout+bounds.Thaw, checked.handoverPause(), "the last order of the holder before has ended")
}
