// Package loads exchanges with the other proxies, by way of one coordinator, what each has in flight at the backends. A
// proxy sees a small part of the traffic, and the totals that it polls are older than a prefill takes. So it publishes
// each change at once, and queries the loads of the others before each pick. Nothing depends on a response: without one
// the proxy picks by the totals that it polled.
package loads

import (
	"context"
	"sync"
	"time"

	"pumiceline/internal/ctxtime"
	"pumiceline/internal/message"
	"pumiceline/internal/transport"
)

const (
	// queryTimeout bounds the wait for a response: a few times the round trip within a region.
	queryTimeout = 30 * time.Millisecond
	// maxFailures is how many queries in a row a coordinator may leave unanswered until another one is used.
	maxFailures = 2
	// unavailableTime is how long a coordinator is not used after maxFailures, or after a failure to connect.
	unavailableTime = 1500 * time.Millisecond
	// completeReportInterval is how often all loads are reported again, as they expire at the coordinator (package inflight).
	completeReportInterval = 1500 * time.Millisecond
	// flushInterval is the least time between two reports without a query: changes in it are reported together.
	flushInterval = 2 * time.Millisecond
)

// Exchange reports to, and queries, the coordinator that all proxies with the same membership view choose. All methods
// may be called from any goroutine.
type Exchange struct {
	identity     message.MemberID
	client       *transport.Client
	hasChanges   chan struct{} // has a value while changes are to be reported; its capacity is 1
	queryTimeout time.Duration

	// The mutex guards all below. It is held while a report is written, so that reports keep their order.
	mutex        sync.Mutex
	coordinators coordinators
	failures     int // queries without a response, in a row
	isConnecting bool
	syncedWith   string // address of the coordinator that has received all loads on the present connection
	loads        map[message.BackendID]message.BackendLoad
	changed      map[message.BackendID]bool // not reported yet
}

// New makes an exchange for the proxy of that identity. Run must be called once.
func New(identity message.MemberID) *Exchange {
	return &Exchange{
		identity: identity, client: transport.NewClient(), hasChanges: make(chan struct{}, 1), queryTimeout: queryTimeout,
		coordinators: coordinators{unavailableUntil: map[string]time.Time{}},
		loads:        map[message.BackendID]message.BackendLoad{}, changed: map[message.BackendID]bool{},
	}
}

// SetMembers takes the coordinators of the present membership view.
func (e *Exchange) SetMembers(members []message.Member) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.coordinators.set(members)
}

// Publish takes what the proxy has in flight now at backends where that has changed. It does not wait.
func (e *Exchange) Publish(loads []message.BackendLoad) {
	e.mutex.Lock()
	for _, load := range loads {
		e.loads[load.Backend] = load
		if load.InFlight <= 0 && load.QueuedPrefillMs <= 0 {
			delete(e.loads, load.Backend)
		}
		e.changed[load.Backend] = true
	}
	e.mutex.Unlock()
	select {
	case e.hasChanges <- struct{}{}:
	default:
	}
}

// Query returns what the other proxies have in flight at the backends that have loaded a model; backends where they
// have nothing are left out. ok is false where no response came in time.
func (e *Exchange) Query(
	ctx context.Context, service string, model message.ModelName,
) (loads []message.BackendLoad, ok bool) {
	query := e.sendQuery(service, model)
	if query == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, e.queryTimeout)
	defer cancel()
	response, err := query.Wait(ctx)
	e.recordResult(err == nil)
	if err != nil || response.Unknown {
		return nil, false
	}
	return response.Loads, true
}

// Run reports changes as they come, until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(completeReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.hasChanges:
			e.reportChanges()
		case <-ticker.C:
			e.reportAll()
		}
		_ = ctxtime.Sleep(ctx, flushInterval) // the select above checks ctx
	}
}

// sendQuery reports the changes together with a query; nil: it could not be sent.
func (e *Exchange) sendQuery(service string, model message.ModelName) *transport.LoadQuery {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	target := e.coordinators.preferred(time.Now())
	if !e.ensureConnected(target) {
		return nil
	}
	report := e.nextReport(target)
	report.Service, report.Model = service, model
	query, err := e.client.QueryLoads(target, e.identity, report)
	if err != nil {
		return nil
	}
	return query
}

// recordResult counts the queries in a row without a response, and fails over to another coordinator after maxFailures.
func (e *Exchange) recordResult(hasResponse bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if hasResponse {
		e.failures = 0
		return
	}
	e.failures++
	if e.failures < maxFailures {
		return
	}
	e.failures = 0
	e.failOver(time.Now())
}

// reportChanges reports what was not reported yet.
func (e *Exchange) reportChanges() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	target := e.coordinators.preferred(time.Now())
	if !e.ensureConnected(target) || len(e.changed) == 0 && e.syncedWith == target {
		return
	}
	e.sendReport(target)
}

// reportAll reports all loads.
func (e *Exchange) reportAll() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	target := e.coordinators.preferred(time.Now())
	if !e.ensureConnected(target) {
		return
	}
	e.syncedWith = ""
	e.sendReport(target)
}

// sendReport sends the next report without a query. An error needs no handling: see nextReport.
func (e *Exchange) sendReport(target string) {
	_ = e.client.SendLoads(target, e.identity, e.nextReport(target))
}

// nextReport returns the next report to target: of all loads where it has not received them, else of the changes. It
// counts as received from then on; where sending it fails, the connection breaks, and the next report is complete.
func (e *Exchange) nextReport(target string) message.LoadReport {
	report := message.LoadReport{Complete: e.syncedWith != target}
	if report.Complete {
		for _, load := range e.loads {
			report.Loads = append(report.Loads, load)
		}
	} else {
		for backend := range e.changed {
			load, ok := e.loads[backend]
			if !ok {
				load = message.BackendLoad{Backend: backend} // nothing is in flight any more
			}
			report.Loads = append(report.Loads, load)
		}
	}
	clear(e.changed)
	e.syncedWith = target
	return report
}
