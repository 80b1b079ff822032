package balancer

import (
	"time"

	"pumiceline/internal/message"
)

// demand is the demand for a model at this proxy.
type demand struct {
	arrivals float64 // requests that arrived since the last report
	unserved float64 // requests rejected since the last report because no backend would have loaded the model in time
	inFlight int     // attempts in flight at backends
}

func (b *Balancer) demandFor(request *Request) *demand {
	key := request.key()
	d := b.demand[key]
	if d == nil {
		d = &demand{}
		b.demand[key] = d
	}
	return d
}

// Report is what a proxy reports to the coordinators.
type Report struct {
	Demand  []message.ModelDemand // since the last report
	Loads   []message.BackendLoad
	Retries []message.ServiceRetries
}

// Report returns the demand since the last report, the current loads, and the requests and retries in the window of the
// retry budget.
func (b *Balancer) Report(now time.Time) Report {
	b.hasUnmetDemand = false
	return Report{Demand: b.reportDemand(), Loads: b.reportLoads(), Retries: b.budget.Report(now)}
}

// reportDemand returns the demand by model and resets the counts. Models without any demand are dropped.
func (b *Balancer) reportDemand() (report []message.ModelDemand) {
	waiting := map[ModelKey]int{}
	for _, request := range b.queue {
		if request.waitReason == WaitModel {
			waiting[request.key()]++
		}
	}
	for key, d := range b.demand {
		entry := message.ModelDemand{
			Service: key.Service, Model: key.Model, Arrivals: d.arrivals, Unserved: d.unserved,
			InFlight: d.inFlight, Waiting: waiting[key],
		}
		d.arrivals, d.unserved = 0, 0
		if entry.Arrivals == 0 && entry.Unserved == 0 && entry.InFlight == 0 && entry.Waiting == 0 {
			delete(b.demand, key)
			continue
		}
		report = append(report, entry)
	}
	return report
}

// reportLoads returns this proxy's loads at the backends where it has requests in flight. It stores them in
// lastReported, because SetTotalLoads subtracts them from the totals that the coordinators send.
func (b *Balancer) reportLoads() (report []message.BackendLoad) {
	for _, backend := range b.backends {
		backend.lastReported = backend.load()
		if backend.inFlight > 0 {
			report = append(report, backend.lastReported)
		}
	}
	return report
}
