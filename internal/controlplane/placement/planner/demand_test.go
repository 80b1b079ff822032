package planner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/message"
)

// updateFor reports the same demand ten times a second for a while, and returns the time then.
func updateFor(table *DemandTable, now time.Time, duration time.Duration, reports ...message.ModelDemand) time.Time {
	for end := now.Add(duration); now.Before(end); {
		now = now.Add(100 * time.Millisecond)
		table.Update(now, reports)
	}
	return now
}

func TestDemandTable_RateRisesFastAndFallsSlowly(t *testing.T) {
	table := NewDemandTable()
	now := updateFor(table, start, 10*time.Second, message.ModelDemand{Service: "s", Model: "m", Arrivals: 1})
	risen := table.Of("s", "m")
	assert.InDelta(t, 10, risen.Rate(), 0.5)
	assert.InDelta(t, 3.3, risen.SlowRate, 0.3)
	updateFor(table, now, 10*time.Second)
	fallen := table.Of("s", "m")
	assert.Less(t, fallen.FastRate, 0.5)
	assert.InDelta(t, fallen.SlowRate, fallen.Rate(), 1e-9)
	assert.InDelta(t, 2.2, fallen.Rate(), 0.3)
}

// By Little's law: six requests in flight at twelve a second take half a second each.
func TestDemandTable_MeanSeconds(t *testing.T) {
	table := NewDemandTable()
	assert.InDelta(t, defaultDuration.Seconds(), table.MeanSeconds("s", "m"), 1e-9, "nothing was reported")
	updateFor(table, start, 10*durationTimeConstant, // long enough that the first update has hardly any weight
		message.ModelDemand{Service: "s", Model: "m", Arrivals: 1.2, InFlight: 6},
		message.ModelDemand{Service: "s", Model: "slow", Arrivals: 0.1, InFlight: 50},
		message.ModelDemand{Service: "s", Model: "rare", Arrivals: 0.01, InFlight: 6})
	assert.InDelta(t, 0.5, table.MeanSeconds("s", "m"), 1e-3)
	assert.InDelta(t, maxDuration.Seconds(), table.MeanSeconds("s", "slow"), 1e-9, "it is bounded")
	assert.InDelta(t, defaultDuration.Seconds(), table.MeanSeconds("s", "rare"), 1e-9, "too few requests")
}

func TestDemandTable_AdapterCountsForItsModel(t *testing.T) {
	table := NewDemandTable()
	table.Update(start, []message.ModelDemand{
		{Service: "s", Model: "m", Waiting: 1}, {Service: "s", Model: "m/a1", Waiting: 2, Unserved: 3},
	})
	assert.Equal(t, 3, table.Of("s", "m").Waiting)
	assert.InDelta(t, 3, table.Of("s", "m").Unserved, 1e-9)
	assert.Equal(t, 2, table.Of("s", "m/a1").Waiting)
	assert.True(t, table.IsEmpty("other"))
}

func TestDemandTable_DropsEntriesAfterExpiry(t *testing.T) {
	table := NewDemandTable()
	table.Update(start, []message.ModelDemand{{Service: "s", Model: "m", Arrivals: 1}})
	table.Update(start.Add(demandExpiry), nil)
	assert.False(t, table.IsEmpty("s"))
	table.Update(start.Add(demandExpiry+time.Second), nil)
	assert.True(t, table.IsEmpty("s"))
}
