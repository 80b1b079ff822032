package model

import "reflect"

// TimeScaled is sc with every time in it multiplied by factor: the same scenario, seen on another clock. Load is a share
// of the servers' capacity, so that as many requests come. A policy that depends on nothing but its settings and what it
// observes does as well in either; one with a time of its own does not.
func (sc *Scenario) TimeScaled(factor float64) Scenario {
	c := sc.Clone()
	scaleTimes(reflect.ValueOf(&c).Elem(), factor)
	for i := range c.Faults {
		if f := &c.Faults[i]; f.Kind == FaultReportDelay { // its magnitude is a time, in seconds
			f.Magnitude *= factor
		}
	}
	return c
}

// scaleTimes multiplies each Span below v.
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

// WithDownstreamWait is sc with a part of all work turned into waits for other services of the same length, on a core of
// the mean speed. The load of the servers and all else stays.
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
