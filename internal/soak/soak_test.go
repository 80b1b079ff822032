package soak

import (
	"context"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Parameters of the run in CI: one seed, which must break no rule in any run.
const (
	ciSeed       = 1
	ciFaultPhase = 25 * time.Second
	ciProcesses  = 12
)

// testWriter writes to a test's log.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(b []byte) (int, error) {
	w.t.Log(string(b[:max(0, len(b)-1)])) // without the trailing newline
	return len(b), nil
}

// buildPrograms builds the programs of the system from this module, and returns their folder.
func buildPrograms(t *testing.T) string {
	t.Helper()
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs, "pumiceline/cmd/pumiceline-proxy", "pumiceline/cmd/pumiceline-coordinator")
	build.Stderr = os.Stderr
	require.NoError(t, build.Run())
	return programs
}

// runWithoutViolation runs the programs of this module with applications, and reports each violation as an error.
func runWithoutViolation(t *testing.T, options Options) *Result {
	t.Helper()
	options.Programs, options.Applications, options.Progress = buildPrograms(t), true, testWriter{t}
	result, err := Run(t.Context(), options)
	require.NoError(t, err)
	t.Log(result)
	for _, violation := range result.Violations {
		t.Errorf("%v\n  plays again with: %s", violation, result.Command)
	}
	return result
}

// The whole system breaks no rule under the faults of one seed.
func TestRun_BreaksNoRule(t *testing.T) {
	result := runWithoutViolation(t, Options{Seed: ciSeed, FaultPhase: ciFaultPhase, Processes: ciProcesses})
	assert.NotZero(t, result.Served)
	assert.NotZero(t, result.Acknowledged)
	assert.NotZero(t, result.LockHolds)
	assert.NotZero(t, result.Numbers)
	assert.NotZero(t, result.Puts)
	assert.NotZero(t, result.WatchAnswers)
	for _, kind := range []FaultKind{FaultTerminate, FaultHangup, FaultKill, FaultFreeze, FaultThaw} {
		assert.NotZero(t, result.Faults[string(kind)], "no %s", kind)
	}
}

func TestRun_NamesMissingProgram(t *testing.T) {
	_, err := Run(context.Background(), Options{Programs: t.TempDir(), FaultPhase: minFaultPhase, Processes: 6})
	assert.ErrorContains(t, err, "pumiceline-coordinator")
}

func TestRun_RejectsShortFaultPhase(t *testing.T) {
	_, err := Run(context.Background(), Options{FaultPhase: time.Second})
	assert.ErrorContains(t, err, "at least")
}

// Parameters of the run with counted losses in CI.
const (
	ciLossSeed  = 6
	ciLossPhase = 25 * time.Second
)

// Coordinators lose nothing that they acknowledged, and answer each change, under losses that the tolerance covers at
// every moment, counted as operators count them.
func TestRun_LosesNothingUnderCountedLosses(t *testing.T) {
	result := runWithoutViolation(t, Options{Seed: ciLossSeed, FaultPhase: ciLossPhase, Losses: true})
	assert.NotZero(t, result.Acknowledged)
	assert.NotZero(t, result.LockHolds)
	assert.NotZero(t, result.Puts)
	assert.NotZero(t, result.Losses["overlapping replacement"])
	assert.NotZero(t, result.Losses["final lost disk"])
}

// Parameters of the run with outages of the lease holder in CI. A zone has three proxies.
const (
	ciOutageSeed      = 1
	ciOutagePhase     = 20 * time.Second
	ciOutageProcesses = 16
)

// Requests reach no backend after its drain time while the lease holder cannot read the platform's list.
func TestRun_DrainsWhileLeaseHolderCannotReadList(t *testing.T) {
	result, err := Run(t.Context(), Options{
		Programs: buildPrograms(t), Seed: ciOutageSeed, FaultPhase: ciOutagePhase, Processes: ciOutageProcesses,
		HolderOutages: true, Progress: testWriter{t},
	})
	require.NoError(t, err)
	t.Log(result)
	for _, violation := range result.Violations {
		t.Errorf("%v\n  plays again with: %s", violation, result.Command)
	}
	assert.NotZero(t, result.Served)
	assert.NotZero(t, result.Drains)
}
