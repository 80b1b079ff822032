// Package loads shares with the other proxies, through one coordinator, the load that each proxy has in flight at the
// backends. A proxy sees only a small part of the traffic, and the totals that it polls are older than a prefill
// takes. So it publishes each change at once, and queries the loads of the other proxies before each pick. No pick
// depends on a response: without one the proxy uses the totals that it polled.
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
	// maxFailures is how many consecutive queries must fail before the proxy uses another coordinator.
	maxFailures = 2
	// unavailableTime is how long a coordinator is not used after maxFailures, or after a failure to connect.
	unavailableTime = 1500 * time.Millisecond
	// completeReportInterval is how often all loads are reported again. Without this they would expire at the
	// coordinator (package inflight).
	completeReportInterval = 1500 * time.Millisecond
	// flushInterval is the minimum time between two reports without a query. Changes within it are reported together.
	flushInterval = 2 * time.Millisecond
)

// Exchange reports to, and queries, the coordinator that all proxies with the same membership view prefer. All methods
// may be called from any goroutine.
type Exchange struct {
	identity     message.MemberID
	client       *transport.Client
	hasChanges   chan struct{} // holds a value while changes are not reported yet; its capacity is 1
	queryTimeout time.Duration

	// mutex guards the fields of this block. It is held while a report is written: otherwise an older report could be
	// sent after a newer one.
	mutex        sync.Mutex
	coordinators coordinators
	failures     int // consecutive queries without a response
	isConnecting bool
	syncedWith   string // address of the coordinator that was sent all loads on the current connection; empty: none
	loads        map[message.BackendID]message.BackendLoad
	changed      map[message.BackendID]bool // backends whose changed load is not reported yet

	// queueMutex guards the fields below, which the next report takes over. It is never held during I/O: a coordinator
	// that does not read must not stop the owner of the balancer, which also applies the lists of backends.
	queueMutex    sync.Mutex
	queuedLoads   []message.BackendLoad
	queuedMembers []message.Member // nil: they have not changed
}

// New returns an exchange for the proxy with this identity. The caller must call Run once.
func New(identity message.MemberID) *Exchange {
	return &Exchange{
		identity: identity, client: transport.NewClient(), hasChanges: make(chan struct{}, 1), queryTimeout: queryTimeout,
		coordinators: coordinators{unavailableUntil: map[string]time.Time{}},
		loads:        map[message.BackendID]message.BackendLoad{}, changed: map[message.BackendID]bool{},
	}
}

// SetMembers sets the coordinators of the current membership view. It does not wait while a report is written.
func (e *Exchange) SetMembers(members []message.Member) {
	e.queueMutex.Lock()
	defer e.queueMutex.Unlock()
	e.queuedMembers = members
}

// Publish queues a report of this proxy's current loads at backends where they have changed. It does not wait until the
// report is sent, or while another one is written.
func (e *Exchange) Publish(loads []message.BackendLoad) {
	e.queueMutex.Lock()
	e.queuedLoads = append(e.queuedLoads, loads...)
	e.queueMutex.Unlock()
	select {
	case e.hasChanges <- struct{}{}:
	default:
	}
}

// takeQueued takes over what SetMembers and Publish have queued. The mutex must be held.
func (e *Exchange) takeQueued() {
	e.queueMutex.Lock()
	loads, members := e.queuedLoads, e.queuedMembers
	e.queuedLoads, e.queuedMembers = nil, nil
	e.queueMutex.Unlock()
	if members != nil {
		e.coordinators.set(members)
	}
	for _, load := range loads {
		e.loads[load.Backend] = load
		if load.InFlight <= 0 && load.QueuedPrefillMs <= 0 {
			delete(e.loads, load.Backend)
		}
		e.changed[load.Backend] = true
	}
}

// Query returns what the other proxies have in flight at the backends that have loaded a model. It omits backends where
// they have nothing in flight. ok is false if no response came in time, or if the response is marked Unknown.
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

// Run reports changes as they occur, and all loads every completeReportInterval, until ctx ends.
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

// sendQuery sends the next report together with a query. It returns nil if they could not be sent.
func (e *Exchange) sendQuery(service string, model message.ModelName) *transport.LoadQuery {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.takeQueued()
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

// recordResult counts consecutive queries without a response, and fails over to another coordinator after maxFailures.
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

// reportChanges reports the changes that are not reported yet, or all loads if the coordinator was not sent them yet.
func (e *Exchange) reportChanges() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.takeQueued()
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
	e.takeQueued()
	target := e.coordinators.preferred(time.Now())
	if !e.ensureConnected(target) {
		return
	}
	e.syncedWith = ""
	e.sendReport(target)
}

// sendReport sends the next report without a query. An error needs no handling, see nextReport.
func (e *Exchange) sendReport(target string) {
	_ = e.client.SendLoads(target, e.identity, e.nextReport(target))
}

// nextReport returns the next report to target: the changes if target was sent all loads before, otherwise all loads.
// It marks the report as sent, so the caller must send it. If sending fails, the connection is closed, and the first
// report on the next connection contains all loads.
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
				load = message.BackendLoad{Backend: backend} // the proxy has nothing in flight there any more
			}
			report.Loads = append(report.Loads, load)
		}
	}
	clear(e.changed)
	e.syncedWith = target
	return report
}
