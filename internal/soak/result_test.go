package soak

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A call counts as cut only if it was open longer than LossSlack, is no watch, and its process was not killed.
func TestCountCallCuts(t *testing.T) {
	h := goodHistory()
	h.fault("c2", FaultKill, 50*second)
	h.Applications.Cuts = []CutCall{
		{"c0", "/locks/l", 40 * second, 40*second + second/2},
		{"c0", "/locks/l", 40 * second, 40*second + second/10},
		{"c0", watchPath + "g1.", 40 * second, 41 * second},
		{"c2", "/locks/l", 51 * second, 52 * second},
	}
	assert.Equal(t, 1, countCallCuts(h))
}

// A result has the command that repeats the run, and the counts of the history.
func TestNewResult(t *testing.T) {
	h := withApplications()
	opts := Options{Programs: "target", Seed: 7, FaultPhase: 20 * second, Processes: 12, Applications: true}
	result := newResult(opts, DrawSchedule(7, opts.shape()), h)
	assert.Empty(t, result.Violations)
	assert.Equal(t, "pumicectl soak --programs target --first-seed 7 --seeds 1 --duration 20s --processes 12 --applications=true",
		result.Command)
	assert.Equal(t, 100, result.Served)
	assert.Equal(t, 3, result.Acknowledged)
	assert.Equal(t, 2, result.LockHolds)
	assert.Equal(t, 3, result.Puts)
	assert.Equal(t, 1, result.WatchAnswers)
	assert.Contains(t, result.String(), "seed 7: 12 processes")
}
