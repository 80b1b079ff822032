package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDrawSchedule_RepeatsForSeed(t *testing.T) {
	shape := NewShape(12, 30*time.Second)
	assert.Equal(t, DrawSchedule(7, shape), DrawSchedule(7, shape))
	assert.NotEqual(t, DrawSchedule(7, shape), DrawSchedule(8, shape))
}

// Every seed has steps of each action. They are ordered by time, begin within the fault phase, and are for existing
// processes.
func TestDrawSchedule_HasEachKind(t *testing.T) {
	for _, shape := range []Shape{NewShape(6, 10*time.Second), NewShape(12, 30*time.Second), NewShape(200, time.Minute)} {
		overlapping := 0
		for seed := range uint64(50) {
			schedule := DrawSchedule(seed, shape)
			kinds := map[Action]bool{}
			last := Step{}
			for _, step := range schedule {
				kinds[step.Action] = true
				assert.GreaterOrEqual(t, step.At, last.At)
				assert.Less(t, step.At, shape.FaultPhase)
				assert.Less(t, step.Node, shape.Processes())
				assert.Equal(t, step.Action.IsChange(), step.VersionStep > 0)
				if step.Series != last.Series {
					overlapping++
				}
				last = step
			}
			for _, action := range seriesActions {
				assert.True(t, kinds[action], "seed %d has no %s", seed, action)
			}
		}
		assert.Greater(t, overlapping, 50*2*len(seriesActions), "series overlap")
	}
}

func TestNewShape_HasBothRoles(t *testing.T) {
	assert.Equal(t, Shape{Coordinators: 3, Proxies: 3}, NewShape(1, 0))
	assert.Equal(t, Shape{Coordinators: 3, Proxies: 9}, NewShape(12, 0))
	assert.Equal(t, Shape{Coordinators: 8, Proxies: 192}, NewShape(200, 0))
}
