package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/fake/fakesystem"
)

// drainHistory is a history in which proxy p-0 sends one request to a backend that began to drain 10 s before the given
// delay.
func drainHistory(delay time.Duration) *History {
	bounds := StatedBounds()
	epoch := time.Unix(1000, 0)
	sent := 10*time.Second + delay
	return &History{
		Bounds: bounds, Epoch: epoch, Roles: map[string]Role{"c-0": RoleCoordinator, "p-0": RoleProxy},
		Faults:     []Fault{{Node: "c-0", Kind: FaultStart}, {Node: "p-0", Kind: FaultStart}},
		Drains:     []Drain{{Backend: "b", At: 10 * time.Second}},
		Requests:   []Request{{ID: "r", Node: "p-0", SentAt: sent, EndedAt: sent}},
		Executions: map[string][]fakesystem.Execution{"r": {{BackendID: "b", StartedAt: epoch.Add(sent)}}},
	}
}

func TestCheckDrains(t *testing.T) {
	drain := StatedBounds().Drain
	for _, c := range []struct {
		name  string
		delay time.Duration
		edit  func(h *History)
		want  int
	}{
		{"within the bound", drain, func(*History) {}, 0},
		{"after the bound", drain + time.Millisecond, func(*History) {}, 1},
		{"another backend", 2 * drain, func(h *History) { h.Drains[0].Backend = "other" }, 0},
		{"the proxy was frozen", 2 * drain, func(h *History) {
			h.Faults = append(h.Faults, Fault{Node: "p-0", Kind: FaultFreeze, At: 11 * time.Second}, Fault{Node: "p-0", Kind: FaultThaw, At: 12 * time.Second})
		}, 0},
		{"no majority of the coordinators ran", 2 * drain, func(h *History) {
			h.Faults = append(h.Faults, Fault{Node: "c-0", Kind: FaultKill, At: 11 * time.Second})
		}, 0},
		{"the machine held the runner up for long enough", 2 * drain, func(h *History) {
			h.Delays = []DelaySample{{Node: runnerNode, From: 11 * time.Second, To: 18 * time.Second, Waited: drain}}
		}, 0},
		{"the machine held the runner up for a part of it", 2 * drain, func(h *History) {
			h.Delays = []DelaySample{{Node: runnerNode, From: 11 * time.Second, To: 12 * time.Second, Waited: drain / 2}}
		}, 1},
	} {
		h := drainHistory(c.delay)
		c.edit(h)
		assert.Len(t, checkDrains(h, newTimeline(h)), c.want, c.name)
	}
}
