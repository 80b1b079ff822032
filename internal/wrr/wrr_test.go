package wrr

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestWeight(t *testing.T) {
	assert.InDelta(t, 10/0.5, Weight(10, 0.5, 0, 1), 1e-12)
	assert.InDelta(t, 10/(0.5+0.2*3), Weight(10, 0.5, 0.2, 3), 1e-12)
}

func TestSlowStart_Factor(t *testing.T) {
	tests := []struct {
		name                           string
		window, floor, aggression, age float64
		want                           float64
	}{
		{"floor", 100, 0.1, 1, 0, 0.1},
		{"below the minimum age", 4, 0.1, 1, 0, 0.25},
		{"linear", 4, 0.1, 1, 2, 0.5},
		{"aggression below 1", 4, 0.1, 0.5, 2, 0.25},
		{"end of the window", 4, 0.1, 1, 4, 1},
		{"window shorter than the minimum age", 0.5, 0.1, 1, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			slowStart := SlowStart{Window: test.window, MinAge: 1, Floor: test.floor, Aggression: test.aggression}
			assert.InDelta(t, test.want, slowStart.Factor(test.age), 1e-12)
		})
	}
	seconds := SlowStart{Window: 4, MinAge: 1, Floor: 0.1, Aggression: 2}
	microseconds := SlowStart{Window: 4e6, MinAge: 1e6, Floor: 0.1, Aggression: 2}
	assert.Equal(t, seconds.Factor(2), microseconds.Factor(2e6), "the unit of time must not matter")
	assert.Equal(t, seconds.Factor(0), microseconds.Factor(0), "the unit of time must not matter")
	assert.Less(t, seconds.Factor(1), seconds.Factor(2), "the factor must rise with the age")
	assert.Equal(t, 1.0, seconds.Factor(1e9), "long after the window")
}

func TestDecay(t *testing.T) {
	assert.Equal(t, 1.0, Decay(0, 15))
	assert.InDelta(t, 1/math.E, Decay(15, 15), 1e-12)
	assert.InDelta(t, Decay(5, 15), Decay(2, 15)*Decay(3, 15), 1e-12, "one step must equal two steps of the same total")
}

func TestPeriods_Check(t *testing.T) {
	periods := Periods{Expiration: 60, Blackout: 10}
	for _, c := range []struct {
		name                       string
		sinceUpdate, sinceNonEmpty float64
		want                       Validity
	}{
		{"first update", 0, 0, InBlackout},
		{"end of the blackout period", 0, 10, Usable},
		{"before the end of the blackout period", 0, 9.9, InBlackout},
		{"before expiration", 59.9, 100, Usable},
		{"at expiration", 60, 100, Expired},
		{"expired within the blackout period", 60, 5, Expired},
	} {
		assert.Equal(t, c.want, periods.Check(c.sinceUpdate, c.sinceNonEmpty), c.name)
	}
}
