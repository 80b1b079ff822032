package balancer

import "pumiceline/internal/message"

// demand is the demand for a model.
type demand struct {
	arrivals float64 // requests since the last report
	unserved float64 // of these, rejected because no backend would have loaded the model in time
	inFlight int     // attempts at backends now
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

// Report returns the demand since the last report and the present loads, for the coordinators.
func (b *Balancer) Report() ([]message.ModelDemand, []message.BackendLoad) {
	b.hasUnmetDemand = false
	return b.reportDemand(), b.reportLoads()
}

// reportDemand returns the demand by model and begins a new count; models without any demand are dropped.
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

// reportLoads returns the loads of the backends where this proxy has requests in flight, and keeps them: SetTotalLoads
// subtracts them from the totals that follow.
func (b *Balancer) reportLoads() (report []message.BackendLoad) {
	for _, backend := range b.backends {
		backend.lastReported = backend.load()
		if backend.inFlight > 0 {
			report = append(report, backend.lastReported)
		}
	}
	return report
}
