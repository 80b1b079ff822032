// Package placement decides which backend holds which models and adapters. Its planner is pure: it takes what the
// backends hold, what is asked for and the time, and returns tasks. The executor carries tasks out by orders.
package placement

import (
	"math"
	"time"

	"pumiceline/internal/message"
)

// Time constants of the averages of demand.
const (
	fastMemory = 3 * time.Second
	slowMemory = 25 * time.Second

	forgetAfter     = 10 * time.Minute // a model or adapter that nobody asked for so long has no entry
	durationMemory  = 20 * time.Second
	usualDuration   = 600 * time.Millisecond // of a request, where nothing was measured
	leastRate       = 0.3                    // requests a second below which durations are not trusted
	longestDuration = 3 * time.Second
)

// Demand is what was asked for one model or adapter.
type Demand struct {
	Fast      float64 // requests a second, over the last seconds
	Slow      float64 // requests a second, over the last half minute
	Running   float64 // requests under way, smoothed
	InUse     int     // requests under way, as last told
	Waiting   int     // requests that wait for it now
	Missed    float64 // requests refused for want of it, fading
	LastAsked time.Time

	durations float64 // fading sum of running requests, for the mean duration
	rates     float64 // fading sum of arrivals
}

// DemandTable keeps averages by service and model; adapters have entries of their own beside their model's.
type DemandTable struct {
	entries map[string]map[message.ModelName]*Demand
	updated time.Time
}

// NewDemandTable makes an empty table.
func NewDemandTable() *DemandTable {
	return &DemandTable{entries: map[string]map[message.ModelName]*Demand{}}
}

// Of returns the demand for a model, or for an adapter named after a slash.
func (t *DemandTable) Of(service string, model message.ModelName) Demand {
	if entry := t.entries[service][model]; entry != nil {
		return *entry
	}
	return Demand{}
}

// IsEmpty reports whether nothing was ever asked of a service.
func (t *DemandTable) IsEmpty(service string) bool { return len(t.entries[service]) == 0 }

// Duration is how many seconds a request of a model takes, by Little's law.
func (t *DemandTable) Duration(service string, model message.ModelName) float64 {
	entry := t.entries[service][model]
	if entry == nil || entry.rates < leastRate {
		return usualDuration.Seconds()
	}
	return min(longestDuration.Seconds(), entry.durations/entry.rates)
}

func (t *DemandTable) entry(service string, model message.ModelName) *Demand {
	models := t.entries[service]
	if models == nil {
		models = map[message.ModelName]*Demand{}
		t.entries[service] = models
	}
	entry := models[model]
	if entry == nil {
		entry = &Demand{}
		models[model] = entry
	}
	return entry
}

// sample is what one report says of one name.
type sample struct {
	arrivals, missed float64
	running, waiting int
}

// Update takes what was gathered since the last update.
func (t *DemandTable) Update(now time.Time, demand []message.ModelDemand) {
	span := now.Sub(t.updated).Seconds()
	if t.updated.IsZero() || span <= 0 {
		span = fastMemory.Seconds()
	}
	t.updated = now
	samples := map[string]map[message.ModelName]*sample{}
	for _, d := range demand {
		add(samples, d.Service, d.Model, d)
		if model := message.ModelOf(d.Model); model != d.Model {
			add(samples, d.Service, model, d)
		}
	}
	for service, names := range samples {
		for name := range names {
			t.entry(service, name)
		}
	}
	for service, models := range t.entries {
		for name, entry := range models {
			s := samples[service][name]
			if s == nil {
				s = &sample{}
			}
			entry.take(now, span, s)
			if now.Sub(entry.LastAsked) > forgetAfter {
				delete(models, name)
			}
		}
	}
}

func add(samples map[string]map[message.ModelName]*sample, service string, name message.ModelName, d message.ModelDemand) {
	names := samples[service]
	if names == nil {
		names = map[message.ModelName]*sample{}
		samples[service] = names
	}
	s := names[name]
	if s == nil {
		s = &sample{}
		names[name] = s
	}
	s.arrivals += d.Arrivals
	s.missed += d.Unserved
	s.running += d.Running
	s.waiting += d.Waiting
}

func (d *Demand) take(now time.Time, span float64, s *sample) {
	d.Fast = blend(d.Fast, s.arrivals/span, span, fastMemory)
	d.Slow = blend(d.Slow, s.arrivals/span, span, slowMemory)
	d.Running = blend(d.Running, float64(s.running), span, fastMemory)
	d.Missed = d.Missed*math.Exp(-span/fastMemory.Seconds()) + s.missed
	d.Waiting = s.waiting
	d.InUse = s.running
	d.durations = blend(d.durations, float64(s.running), span, durationMemory)
	d.rates = blend(d.rates, s.arrivals/span, span, durationMemory)
	if s.arrivals > 0 || s.waiting > 0 || s.missed > 0 {
		d.LastAsked = now
	}
}

// blend moves an average towards a value that held over span seconds.
func blend(average, value, span float64, memory time.Duration) float64 {
	keep := math.Exp(-span / memory.Seconds())
	return average*keep + value*(1-keep)
}
