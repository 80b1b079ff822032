package model

import "reflect"

// TimeScaled returns sc with every time multiplied by factor: the same scenario on another clock. Load is a share of
// the servers' capacity, so the number of requests stays the same. A policy that depends only on its settings and its
// observations performs equally well in both. A policy with a hard-coded time does not.
func (sc *Scenario) TimeScaled(factor float64) Scenario {
	c := sc.Clone()
	scaleTimes(reflect.ValueOf(&c).Elem(), factor)
	for i := range c.Faults {
		if f := &c.Faults[i]; f.Kind == FaultReportDelay { // its magnitude is a time in seconds
			f.Magnitude *= factor
		}
	}
	return c
}

// scaleTimes multiplies each Span within v by factor.
func scaleTimes(v reflect.Value, factor float64) {
	switch {
	case v.Type() == reflect.TypeFor[Span]():
		v.SetInt(int64(float64(v.Int())*factor + 0.5))
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			scaleTimes(v.Field(i), factor)
		}
	case v.Kind() == reflect.Slice:
		for i := range v.Len() {
			scaleTimes(v.Index(i), factor)
		}
	}
}

// WithDownstreamWait returns sc with a part of all work replaced by waits for other services. A wait is as long as the
// replaced work takes on a core of the mean speed. Load and everything else stay the same.
func (sc *Scenario) WithDownstreamWait(part float64) Scenario {
	c := sc.Clone()
	speed, share := 0.0, 0.0
	for _, t := range sc.InstanceTypes {
		speed, share = speed+t.Share*t.Speed, share+t.Share
	}
	for i := range c.Classes {
		class := &c.Classes[i]
		moved := part * float64(class.Work)
		class.Work, class.DownstreamWait = class.Work-Span(moved), class.DownstreamWait+Span(moved*share/max(speed, 1e-9))
	}
	return c
}
