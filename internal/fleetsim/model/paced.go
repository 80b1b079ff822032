package model

import "reflect"

// TimeScaled is w with every time in it multiplied by pace: the same world, seen on another clock. Load stands for a share of what the
// servers can do, so that as many requests come. A decider that goes by nothing but what it is told and what it sees does as
// well in either; one with a time of its own does not.
func (w *Scenario) TimeScaled(pace float64) Scenario {
	c := w.Clone()
	scaleTimes(reflect.ValueOf(&c).Elem(), pace)
	for i := range c.Faults { // of report_late it is a time, in seconds
		if t := &c.Faults[i]; t.Kind == "report_late" {
			t.Magnitude *= pace
		}
	}
	return c
}

func scaleTimes(v reflect.Value, pace float64) {
	switch {
	case v.Type() == reflect.TypeFor[Span]():
		v.SetInt(int64(float64(v.Int())*pace + 0.5))
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			scaleTimes(v.Field(i), pace)
		}
	case v.Kind() == reflect.Slice:
		for i := range v.Len() {
			scaleTimes(v.Index(i), pace)
		}
	}
}

// WithDownstreamWait is w with a part of all work turned into waits on others of the same length, on a core of the mean speed, with the load of
// the servers and all other figures as they were.
func (w *Scenario) WithDownstreamWait(part float64) Scenario {
	c := w.Clone()
	speed, share := 0.0, 0.0
	for _, k := range w.InstanceTypes {
		speed, share = speed+k.Share*k.Speed, share+k.Share
	}
	for i := range c.Classes {
		k := &c.Classes[i]
		moved := part * float64(k.Work)
		k.Work, k.DownstreamWait = k.Work-Span(moved), k.DownstreamWait+Span(moved*share/max(speed, 1e-9))
	}
	return c
}
