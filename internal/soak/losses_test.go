package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/simulation"
)

// A change that is not answered within Bounds.Recovery is a violation only where the losses are within the tolerance.
func TestCheck_UnansweredChangeAmidLosses(t *testing.T) {
	h := goodHistory()
	h.change("m4", 3, 4, 44*second, http.StatusServiceUnavailable)
	assert.Empty(t, checkAnswersAmidLosses(h, newTimeline(h)))
	h.HasLosses = true
	found := checkAnswersAmidLosses(h, newTimeline(h))
	require.Len(t, found, 1)
	assert.Equal(t, RuleRecover, found[0].Rule)
	assert.Contains(t, found[0].Text, "m4")

	h.slow("c0", 45*second)
	assert.Empty(t, checkAnswersAmidLosses(h, newTimeline(h)), "the bound is longer where the machine held up a process")
}

// removedAtOnce is an overlapping replacement whose old machine is removed without notice as soon as it may be.
var removedAtOnce = simulation.Fault{Kind: simulation.OverlappingReplacement, Draw: 7}

// newTestLossRunner returns a runner of a fleet of three coordinators in zones of their own, with a tolerance of one, and
// a short Bounds.Sync.
func newTestLossRunner(t *testing.T, zones int) *lossRunner {
	t.Helper()
	f, _ := newTestFleet(t, gracefulProgram, time.Minute)
	coordinators := newCoordinatorList(f.ofRole(RoleCoordinator))
	options := simulation.Options{Seed: 1, Members: 3, Tolerance: 1, Zones: zones}
	f.setLossOptions(options)
	for _, n := range f.all() {
		n.Bounds.Sync = 100 * time.Millisecond
	}
	l := newLossRunner(&run{fleet: f}, coordinators, options)
	require.True(t, l.waitUntil(t.Context(), l.isEverythingBack))
	return l
}

// A machine counts as lost while it is frozen or down, and for Bounds.Sync after that.
func TestLossRunner_CountsLostMachines(t *testing.T) {
	l := newTestLossRunner(t, 3)
	first, second := l.slots[0], l.slots[1]
	for _, kind := range []simulation.FaultKind{simulation.Freeze, simulation.PowerLoss, simulation.GracefulRestart, simulation.DiskLoss} {
		hit := simulation.Fault{Kind: kind, Duration: 50 * time.Millisecond, Slots: []int{0, 1, 2}, Count: 1}
		require.True(t, l.isAllowed(hit), "%v", kind)
		require.NoError(t, l.inject(hit))
		assert.False(t, l.toleratesLossOf([]*node{second}), "%v", kind)
		assert.True(t, l.toleratesLossOf([]*node{first}), "%v: the same machine may be lost again", kind)
		require.True(t, l.waitUntil(t.Context(), l.isEverythingBack))
		assert.GreaterOrEqual(t, l.now(), first.backAt+first.Bounds.Sync, "%v", kind)
		assert.True(t, l.toleratesLossOf([]*node{second}), "%v", kind)
	}
}

// A replaced machine goes on running until its successor has run for Bounds.Sync, and does not count from then on.
func TestLossRunner_PlannedReplacement(t *testing.T) {
	l := newTestLossRunner(t, 3)
	old := l.slots[0]
	require.NoError(t, l.replaceWithOverlap(old, removedAtOnce))
	successor := l.slots[0]
	assert.Equal(t, old.Zone, successor.Zone)
	assert.NotEqual(t, old.IP, successor.IP)
	assert.False(t, successor.IsFirstStart())
	assert.False(t, l.toleratesLossOf([]*node{l.slots[1]}), "the successor is new")
	require.True(t, l.waitUntil(t.Context(), old.isGone))
	assert.GreaterOrEqual(t, l.now(), successor.addedAt+successor.Bounds.Sync)
	assert.True(t, l.toleratesLossOf([]*node{l.slots[1]}))
	assert.NotContains(t, l.coordinators.all(), old)
	require.True(t, l.waitUntil(t.Context(), old.isSettled), "it must not be started again")
}

// Where a zone has several coordinators, a machine that is removed without notice counts as lost for Bounds.Sync.
func TestLossRunner_RemovalInSharedZoneCounts(t *testing.T) {
	l := newTestLossRunner(t, simulation.NoZones)
	require.NoError(t, l.replaceWithOverlap(l.slots[0], removedAtOnce))
	removed := l.replaced[0]
	require.True(t, l.waitUntil(t.Context(), removed.old.isGone))
	assert.GreaterOrEqual(t, removed.uncertainUntil, removed.removableAt()+removed.old.Bounds.Sync)
	removed.uncertainUntil = l.now() + time.Hour // so that the test does not depend on how fast the machine is
	assert.False(t, l.toleratesLossOf([]*node{l.slots[1]}))
	removed.uncertainUntil = l.now()
	require.True(t, l.waitUntil(t.Context(), func() bool { return l.toleratesLossOf([]*node{l.slots[1]}) }))
}

// A machine that is replaced after its loss counts until its successor has run for Bounds.Sync.
func TestLossRunner_UnplannedReplacement(t *testing.T) {
	l := newTestLossRunner(t, 3)
	old := l.slots[2]
	l.replaceLost(old, 50*time.Millisecond)
	assert.False(t, l.toleratesLossOf([]*node{l.slots[0]}))
	l.replaceLost(old, 0) // a machine that is gone is not replaced twice
	require.True(t, l.waitUntil(t.Context(), l.isEverythingBack))
	assert.NotSame(t, old, l.slots[2])
	assert.Len(t, l.coordinators.all(), 3)
}
