// Package loads exchanges with one coordinator what proxies carry at backends. A proxy sees a small part of the traffic;
// what it pulls with the list of backends is older than a prompt takes to be read. So it tells of each change at once,
// and before each choice it asks what the others carry. Nothing depends on an answer: without one the proxy goes by what
// it knows.
package loads

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pumiceline/internal/message"
	"pumiceline/internal/transport"
)

// Times of the exchange.
const (
	askTimeout   = 30 * time.Millisecond // a later answer is not waited for: a few times the way across a region
	failuresMost = 2                     // in a row; then the coordinator is passed over for a while
	passOver     = 1500 * time.Millisecond
	repeatAfter  = 1500 * time.Millisecond // so often all loads are told anew, as entries expire
	flushPause   = 2 * time.Millisecond    // changes that come closer together are told together
)

// Exchange speaks with the coordinator that all proxies with the same view choose.
type Exchange struct {
	identity string
	client   *transport.Client
	signal   chan struct{}
	timeout  time.Duration // of a question

	mutex      sync.Mutex // of all below; it is held while a report is written, so that reports keep their order
	members    []message.Member
	passedOver map[string]time.Time // addresses, until when
	failures   int
	connecting bool
	told       string // address of the coordinator that has been told everything
	carried    map[message.BackendID]message.BackendLoad
	changed    map[message.BackendID]bool
}

// New makes an exchange for the proxy of that identity; Run must be called once.
func New(identity string) *Exchange {
	return &Exchange{
		identity: identity, client: transport.NewClient(), signal: make(chan struct{}, 1), timeout: askTimeout,
		passedOver: map[string]time.Time{}, carried: map[message.BackendID]message.BackendLoad{}, changed: map[message.BackendID]bool{},
	}
}

// SetMembers takes the coordinators of the present view.
func (e *Exchange) SetMembers(members []message.Member) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.members = slices.Clone(members)
	slices.SortFunc(e.members, func(a, b message.Member) int {
		x, y := rank(a.Address), rank(b.Address)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
}

// rank orders members in the same way at every proxy.
func rank(address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(address)) // a hash takes everything
	return hash.Sum64()
}

// target is the first member that is not passed over.
func (e *Exchange) target(now time.Time) string {
	for _, member := range e.members {
		if now.After(e.passedOver[member.Address]) {
			return member.Address
		}
	}
	return ""
}

// Publish takes what the proxy carries now at backends where that has changed. It does not wait.
func (e *Exchange) Publish(loads []message.BackendLoad) {
	e.mutex.Lock()
	for _, load := range loads {
		e.carried[load.Backend] = load
		if load.Running <= 0 && load.Queued <= 0 {
			delete(e.carried, load.Backend)
		}
		e.changed[load.Backend] = true
	}
	e.mutex.Unlock()
	select {
	case e.signal <- struct{}{}:
	default:
	}
}

// Query returns what the other proxies carry at the holders of a model; backends where they carry nothing are left out.
// ok is false where no answer came in time.
func (e *Exchange) Query(ctx context.Context, service string, model message.ModelName) (loads []message.BackendLoad, ok bool) {
	question := e.ask(service, model)
	if question == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	reply, err := question.Wait(ctx)
	e.note(err == nil)
	if err != nil || reply.Unknown {
		return nil, false
	}
	return reply.Loads, true
}

func (e *Exchange) ask(service string, model message.ModelName) *transport.Question {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	target := e.target(time.Now())
	if !e.isConnected(target) {
		return nil
	}
	report := e.report(target)
	report.Service, report.Model = service, model
	question, err := e.client.AskLoads(target, e.identity, report)
	if err != nil {
		return nil
	}
	return question
}

// isConnected reports whether the target can be written to now; else a connection is begun in the background.
func (e *Exchange) isConnected(target string) bool {
	if target == "" {
		return false
	}
	if e.client.IsConnected(target) {
		return true
	}
	e.told = ""
	if !e.connecting {
		e.connecting = true
		go e.connect(target)
	}
	return false
}

func (e *Exchange) connect(target string) {
	err := e.client.Connect(target)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.connecting = false
	if err != nil {
		e.passedOver[target] = time.Now().Add(passOver)
	}
}

// report makes a report of what was not told yet.
func (e *Exchange) report(target string) message.LoadReport {
	report := message.LoadReport{Complete: e.told != target}
	if report.Complete {
		for _, load := range e.carried {
			report.Loads = append(report.Loads, load)
		}
	} else {
		for backend := range e.changed {
			load, ok := e.carried[backend]
			if !ok {
				load = message.BackendLoad{Backend: backend}
			}
			report.Loads = append(report.Loads, load)
		}
	}
	clear(e.changed)
	e.told = target
	return report
}

// note counts questions without an answer; after some in a row the coordinator is passed over.
func (e *Exchange) note(answered bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if answered {
		e.failures = 0
		return
	}
	e.failures++
	if e.failures < failuresMost {
		return
	}
	e.failures = 0
	now := time.Now()
	target := e.target(now)
	logrus.WithField("coordinator", target).Debug("no answers on loads: another is asked")
	e.passedOver[target] = now.Add(passOver)
	e.client.Disconnect()
}

// Run tells changes as they come until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	repeat := time.NewTicker(repeatAfter)
	defer repeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.signal:
			e.flush(false)
		case <-repeat.C:
			e.flush(true)
		}
		timer := time.NewTimer(flushPause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// flush tells what has changed, or everything.
func (e *Exchange) flush(everything bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	target := e.target(time.Now())
	if !e.isConnected(target) {
		return
	}
	if everything {
		e.told = ""
	}
	if !everything && len(e.changed) == 0 && e.told == target {
		return
	}
	// A connection that breaks is opened anew at the next report, which tells everything.
	_ = e.client.TellLoads(target, e.identity, e.report(target))
}
