package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// One failure must not make a request late, whatever the drain time is and however many proxies there are: no term
// depends on their number.
func TestBudget_TermsStayWithinDrainTime(t *testing.T) {
	const members, tolerance = 9, 2
	for _, drain := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second, 30 * time.Second} {
		b := NewBudget(drain)
		hop := time.Duration(hopShare * float64(drain))
		calm := b.ReadInterval + b.ReadTimeout + hop
		lastStandby := b.StandbyAge(members, tolerance)
		standby := lastStandby + b.ReadTimeout + hop
		deadCoordinator := b.PollWait + b.ResponseMargin
		assert.LessOrEqual(t, standby+b.SendTime, drain, "the lease holder supplies no list")
		assert.LessOrEqual(t, calm+deadCoordinator+b.SendTime, drain, "a proxy's coordinator does not answer")
		assert.LessOrEqual(t, b.FallbackAge+b.ReadTimeout, drain, "no coordinator answers a proxy")
		assert.Less(t, calm, b.FailoverAge, "proxies stay with their coordinator while nothing fails")
		assert.LessOrEqual(t, standby, b.FallbackAge+hop, "proxies do not read the platform before the members have")
		assert.Less(t, b.ReadInterval+b.ReadTimeout/2, b.StandbyAge(0, tolerance), "members do not read while the holder does")
		assert.Less(t, b.RefreshLag, b.ReadInterval)
	}
}

// Coordinators that do not answer one after the other hold a proxy up for less and less time.
func TestBudget_PollTimesShrinkWithAge(t *testing.T) {
	b := NewBudget(4 * time.Second)
	for _, c := range []struct{ age, wait, timeout time.Duration }{
		{0, 500 * time.Millisecond, 1100 * time.Millisecond},
		{1400 * time.Millisecond, 500 * time.Millisecond, 1100 * time.Millisecond},
		{2000 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond},
		{2400 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond},
		{time.Minute, 100 * time.Millisecond, 400 * time.Millisecond},
	} {
		wait, timeout := b.PollTimes(c.age)
		assert.Equal(t, c.wait, wait, "age %v", c.age)
		assert.Equal(t, c.timeout, timeout, "age %v", c.age)
	}
	for _, drain := range []time.Duration{3 * time.Second, 4 * time.Second} {
		b := NewBudget(drain)
		age := b.ReadInterval + b.ReadTimeout/2
		for range 2 { // two coordinators that do not answer
			_, timeout := b.PollTimes(age)
			age += timeout
		}
		assert.LessOrEqual(t, age+b.SendTime, drain, "drain time %v", drain)
	}
}

func TestBudget_StandbyAgeFollowsRank(t *testing.T) {
	b := NewBudget(4 * time.Second)
	assert.Equal(t, 1800*time.Millisecond, b.StandbyAge(0, 2))
	assert.Equal(t, 2000*time.Millisecond, b.StandbyAge(1, 2))
	assert.Equal(t, 2200*time.Millisecond, b.StandbyAge(2, 2))
	assert.Equal(t, 2200*time.Millisecond, b.StandbyAge(7, 2))
	assert.Equal(t, 2000*time.Millisecond, b.StandbyAge(7, 1), "after the loss of one machine the next one reads")
	assert.Equal(t, 1800*time.Millisecond, b.StandbyAge(7, 0))
}
