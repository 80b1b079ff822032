package soak

import (
	"context"
	"os"
	"path/filepath"
	"pumiceline/internal/fake/fakesystem"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Shell scripts that replace the programs of the system in these tests.
const (
	gracefulProgram       = "#!/bin/sh\ntrap 'exit 0' TERM\necho ready > \"$PUMICELINE_BOOT.ready\"\nwhile :; do sleep 0.01; done\n"
	signalIgnoringProgram = "#!/bin/sh\ntrap '' TERM HUP\necho ready > \"$PUMICELINE_BOOT.ready\"\nwhile :; do sleep 0.01; done\n"
)

// newTestFleet starts a fleet of three coordinators and three proxies that run a program of the test, and waits until
// all of them handle signals.
func newTestFleet(t *testing.T, program string, grace time.Duration) (*fleet, *recorder) {
	t.Helper()
	programs := t.TempDir()
	for _, role := range []Role{RoleCoordinator, RoleProxy} {
		require.NoError(t, os.WriteFile(filepath.Join(programs, "pumiceline-"+string(role)), []byte(program), 0o755))
	}
	bounds := StatedBounds()
	bounds.Grace, bounds.OwnEndSlack = grace, 0
	r := newRecorder(bounds)
	f, err := newFleet(NewShape(6, time.Second), programs, t.TempDir(), &fakesystem.Platform{}, r)
	require.NoError(t, err)
	t.Cleanup(f.close)
	require.NoError(t, f.startAll())
	for _, n := range f.nodes {
		ready := filepath.Join(f.dir, n.Name+".yaml.ready")
		require.Eventually(t, func() bool { _, err := os.Stat(ready); return err == nil }, time.Minute, time.Millisecond)
	}
	return f, r
}

// faultsOf returns the kinds of faults of a node, in their order.
func faultsOf(r *recorder, node string) (kinds []FaultKind) {
	r.edit(func(h *History) {
		for _, fault := range h.Faults {
			if fault.Node == node {
				kinds = append(kinds, fault.Kind)
			}
		}
	})
	return kinds
}

// endsOf returns what checkEnds finds.
func endsOf(r *recorder) (found violations) {
	r.edit(func(h *History) { found = checkEnds(h, newTimeline(h)) })
	return found
}

func awaitFault(t *testing.T, r *recorder, node string, kind FaultKind) {
	t.Helper()
	require.Eventually(t, func() bool { return slices.Contains(faultsOf(r, node), kind) }, time.Minute, time.Millisecond)
}

// A process that ends after SIGTERM or a kill is restarted.
func TestFleet_RestartsProcesses(t *testing.T) {
	f, r := newTestFleet(t, gracefulProgram, time.Minute)
	f.apply(Step{Action: ActionTerminate, Node: 0})
	awaitFault(t, r, "coordinator-0", FaultEnd)
	f.apply(Step{Action: ActionKill, Node: 4})
	require.NoError(t, f.awaitSettled(context.Background()))
	assert.Equal(t, []FaultKind{FaultStart, FaultTerminate, FaultEnd, FaultStart}, faultsOf(r, "coordinator-0"))
	assert.Equal(t, []FaultKind{FaultStart, FaultKill, FaultEnd, FaultStart}, faultsOf(r, "proxy-1"))
	assert.Empty(t, endsOf(r))
}

// A process that ignores SIGTERM is killed after the grace time, which is a violation.
func TestFleet_KillsAfterGraceTime(t *testing.T) {
	f, r := newTestFleet(t, signalIgnoringProgram, 100*time.Millisecond)
	f.apply(Step{Action: ActionTerminate, Node: 0})
	awaitFault(t, r, "coordinator-0", FaultGraceKill)
	awaitFault(t, r, "coordinator-0", FaultEnd)
	found := endsOf(r)
	require.Len(t, found, 1)
	assert.Equal(t, RuleProcess, found[0].Rule)
}

// A frozen process is thawed after the time of the step. A process that ends by itself is a violation.
func TestFleet_ThawsAndReportsSelfExit(t *testing.T) {
	f, r := newTestFleet(t, gracefulProgram, time.Minute)
	f.apply(Step{Action: ActionFreeze, Node: 3, For: 10 * time.Millisecond})
	awaitFault(t, r, "proxy-0", FaultThaw)
	assert.Equal(t, []FaultKind{FaultStart, FaultFreeze, FaultThaw}, faultsOf(r, "proxy-0"))
	require.NoError(t, f.nodes[1].process.Stop()) // not sent by the fleet, so it counts as an end by itself
	awaitFault(t, r, "coordinator-1", FaultEnd)
	found := endsOf(r)
	require.Len(t, found, 1)
	assert.Contains(t, found[0].Text, "ended by itself")
}

// stopAll terminates all processes, and none is restarted.
func TestFleet_StopsAll(t *testing.T) {
	f, r := newTestFleet(t, gracefulProgram, time.Minute)
	f.stopAll()
	for _, n := range f.nodes {
		assert.Equal(t, []FaultKind{FaultStart, FaultTerminate, FaultEnd}, faultsOf(r, n.Name))
	}
	require.NoError(t, f.start(f.nodes[0]))
	assert.False(t, f.nodes[0].isSettled())
}

// A process that is replaced again and again while the ones before it stop leaves one process, which is stopped with all.
func TestFleet_OverlappingStartsLeaveOneProcess(t *testing.T) {
	f, r := newTestFleet(t, gracefulProgram, time.Minute)
	const replacements = 5
	for range replacements {
		f.apply(Step{Action: ActionOverlap, Node: 3})
		require.NoError(t, f.awaitSettled(context.Background()))
	}
	f.stopAll() // waits for the end of every process
	starts, ends := 0, 0
	r.edit(func(h *History) {
		for _, fault := range h.Faults {
			if fault.Node == "proxy-0" && fault.Kind == FaultEnd {
				ends++
				starts = max(starts, fault.Instance)
			}
		}
	})
	assert.Equal(t, 1+replacements, starts)
	assert.Equal(t, starts, ends)
}
