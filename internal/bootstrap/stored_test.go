package bootstrap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A settings file stored by an earlier version must still be read, with every key.
func TestReadsSettingsStoredByEarlierVersion(t *testing.T) {
	assert.Equal(t, "PUMICELINE_BOOT", EnvironmentVariable)
	t.Setenv(EnvironmentVariable, "testdata/settings.yaml")
	settings, err := Load()
	require.NoError(t, err)
	assert.Equal(t, &Settings{
		Node: "a-1", Role: "edge", Zone: "a", Region: "north", Zones: map[string]string{"a": "north", "b": "south"}, IP: "10.1.0.1",
		ClientAddress: "10.1.0.1:80", ReadinessAddress: "10.1.0.1:81", ControlAddress: "10.1.0.1:82", FirstPort: 7000, LastPort: 7015,
		Seeds: []string{"10.1.0.1:90", "10.1.0.2:90"}, FirstStart: true, CountsForQuorum: true,
		Limits: Limits{CPUShare: 0.5, MemoryMB: 128, FileLimit: 512, DiskMB: 64}, StateDir: "/state", Tolerance: 2,
		Bounds: Bounds{Ack: 4100 * time.Millisecond, Apply: 2100 * time.Millisecond, Drain: 3100 * time.Millisecond, GracePeriod: 9 * time.Second,
			Lease: 3200 * time.Millisecond, Thaw: 310 * time.Millisecond, RetryWindow: 11 * time.Second, RetryRatio: 0.25, RetryExtra: 60,
			LoadWindow: 6 * time.Second, LoadExcess: 1.5, ChecksFencingTokens: true, Quiet: 3300 * time.Millisecond, ReuseAfter: 3 * time.Second,
			History: 20 * time.Second},
		Platform: Platform{Address: "10.9.0.1:80", MaxCallsPerSecond: 3.5, MaxLag: 810 * time.Millisecond, IsPresent: true},
	}, settings)
}
