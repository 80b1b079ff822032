package planner

import (
	"math"
	"time"

	"pumiceline/internal/message"
)

const (
	// fastTimeConstant and slowTimeConstant are the time constants of the two averages of the rate. The fast average
	// follows a rise at once. The slow one stays above zero for a model with a request every few seconds, so that the
	// model is kept.
	fastTimeConstant = 3 * time.Second
	slowTimeConstant = 25 * time.Second
	// durationTimeConstant is the time constant of the averages from which the mean duration of requests is derived.
	durationTimeConstant = 20 * time.Second
	// defaultDuration is the mean duration of requests if there are fewer than minDurationRate requests a second, too
	// few to derive it.
	defaultDuration = 600 * time.Millisecond
	minDurationRate = 0.3
	// maxDuration bounds the mean duration: otherwise a few long requests would make the model need many replicas.
	maxDuration = 3 * time.Second
	// demandExpiry is how long after its last request the entry of a model or adapter is kept.
	demandExpiry = 10 * time.Minute
)

// Demand is the demand for one model, the requests for its adapters included, or for one adapter.
type Demand struct {
	FastRate    float64 // requests a second, averaged by fastTimeConstant
	SlowRate    float64 // requests a second, averaged by slowTimeConstant
	InFlight    int     // requests in flight, as last reported
	Waiting     int     // requests that wait for it, as last reported
	Unserved    float64 // requests rejected for lack of it; the count decays by fastTimeConstant
	LastRequest time.Time

	meanInFlight float64 // requests in flight, averaged by durationTimeConstant
	meanRate     float64 // requests a second, averaged by durationTimeConstant
}

// Rate is the larger of the two averages, in requests a second: it rises fast and falls slowly.
func (d Demand) Rate() float64 { return max(d.FastRate, d.SlowRate) }

// DemandTable keeps the demand by service and model. Adapters have entries of their own beside their model's. It is not
// safe for concurrent use.
type DemandTable struct {
	entries map[string]map[message.ModelName]*Demand
	updated time.Time
}

// NewDemandTable makes an empty table.
func NewDemandTable() *DemandTable {
	return &DemandTable{entries: map[string]map[message.ModelName]*Demand{}}
}

// Of returns the demand for a model or an adapter.
func (t *DemandTable) Of(service string, name message.ModelName) Demand {
	if entry := t.entries[service][name]; entry != nil {
		return *entry
	}
	return Demand{}
}

// IsEmpty reports whether no model of a service was requested within demandExpiry.
func (t *DemandTable) IsEmpty(service string) bool { return len(t.entries[service]) == 0 }

// MeanSeconds is how many seconds a request for a model takes on average, by Little's law: requests in flight divided by
// their rate.
func (t *DemandTable) MeanSeconds(service string, model message.ModelName) float64 {
	entry := t.entries[service][model]
	if entry == nil || entry.meanRate < minDurationRate {
		return defaultDuration.Seconds()
	}
	return min(maxDuration.Seconds(), entry.meanInFlight/entry.meanRate)
}

// Update adds the reports since the last update.
func (t *DemandTable) Update(now time.Time, reports []message.ModelDemand) {
	elapsedS := now.Sub(t.updated).Seconds()
	if t.updated.IsZero() || elapsedS <= 0 {
		// The first reports cover an unknown time. If it were assumed to be short, a few requests would give a very
		// high rate.
		elapsedS = fastTimeConstant.Seconds()
	}
	t.updated = now
	sums := sumReports(reports)
	for service, names := range sums {
		for name := range names {
			valueAt(t.entries, service, name)
		}
	}
	for service, entries := range t.entries {
		for name, entry := range entries {
			sum := sums[service][name]
			if sum == nil {
				sum = &demandSample{}
			}
			entry.update(now, elapsedS, sum)
			if now.Sub(entry.LastRequest) > demandExpiry {
				delete(entries, name)
			}
		}
	}
}

// demandSample is the sum of the reports of one update on one model or adapter.
type demandSample struct {
	arrivals, unserved float64
	inFlight, waiting  int
}

// sumReports sums the reports up by name. A report on an adapter counts for its model as well.
func sumReports(reports []message.ModelDemand) map[string]map[message.ModelName]*demandSample {
	sums := map[string]map[message.ModelName]*demandSample{}
	for _, report := range reports {
		valueAt(sums, report.Service, report.Model).add(report)
		if model := report.Model.Base(); model != report.Model {
			valueAt(sums, report.Service, model).add(report)
		}
	}
	return sums
}

func (s *demandSample) add(report message.ModelDemand) {
	s.arrivals += report.Arrivals
	s.unserved += report.Unserved
	s.inFlight += report.InFlight
	s.waiting += report.Waiting
}

// valueAt returns the value for a service and name, and adds a zero value if there is none.
func valueAt[T any](table map[string]map[message.ModelName]*T, service string, name message.ModelName) *T {
	values := table[service]
	if values == nil {
		values = map[message.ModelName]*T{}
		table[service] = values
	}
	value := values[name]
	if value == nil {
		value = new(T)
		values[name] = value
	}
	return value
}

func (d *Demand) update(now time.Time, elapsedS float64, sample *demandSample) {
	rate := sample.arrivals / elapsedS
	d.FastRate = average(d.FastRate, rate, elapsedS, fastTimeConstant)
	d.SlowRate = average(d.SlowRate, rate, elapsedS, slowTimeConstant)
	d.Unserved = d.Unserved*math.Exp(-elapsedS/fastTimeConstant.Seconds()) + sample.unserved
	d.Waiting = sample.waiting
	d.InFlight = sample.inFlight
	d.meanInFlight = average(d.meanInFlight, float64(sample.inFlight), elapsedS, durationTimeConstant)
	d.meanRate = average(d.meanRate, rate, elapsedS, durationTimeConstant)
	if sample.arrivals > 0 || sample.waiting > 0 || sample.unserved > 0 {
		d.LastRequest = now
	}
}

// average updates an exponentially weighted moving average by a value that applied for elapsedS seconds:
//
//	keep = exp(-elapsed / timeConstant);  average*keep + value*(1-keep)
func average(average, value, elapsedS float64, timeConstant time.Duration) float64 {
	keep := math.Exp(-elapsedS / timeConstant.Seconds())
	return average*keep + value*(1-keep)
}
