// Package metrics contains the proxy's metrics: one Prometheus registry for the process. Counters are incremented by
// the package in which the event occurs; gauges are read from their owners at each scrape.
package metrics

import (
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Outcome is how a request ended.
type Outcome uint8

// Outcomes of requests.
const (
	Canceled Outcome = iota // by its client; not counted
	Served                  // with a backend's complete response
	Rejected                // with a busy response of the proxy
	Failed                  // in any other way, also with a response that broke off
	outcomeCount
)

// classLabel is the name of the label for a request's class.
const classLabel = "group"

// maxRemovedClasses is how many classes that were removed from the settings keep their series.
const maxRemovedClasses = 64

// Metrics are the metrics of a process. Create them with New. They are safe for concurrent use.
type Metrics struct {
	registry      *prometheus.Registry
	requests      [outcomeCount]*prometheus.CounterVec // nil for Canceled
	attempts      prometheus.Counter
	reloads       prometheus.Counter
	failedReloads prometheus.Counter

	mu      sync.Mutex
	classes map[string]bool // the classes that have series; false: removed from the settings
	removed []string        // removed classes that still have series, in the order of their removal
}

// New returns metrics whose counters are 0.
func New() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(), classes: map[string]bool{}}
	m.requests[Served] = m.newRequestCounter("svc_answered_total", "Requests served with a backend's complete response.")
	m.requests[Rejected] = m.newRequestCounter("svc_deferred_total", "Requests rejected with a busy response.")
	m.requests[Failed] = m.newRequestCounter("svc_errored_total", "Requests that failed, responses that broke off included.")
	m.attempts = m.newCounter("svc_sends_total", "Attempts sent completely to backends.")
	m.reloads = m.newCounter("svc_conf_loaded_total", "Configurations applied at SIGHUP.")
	m.failedReloads = m.newCounter("svc_conf_invalid_total", "Configurations rejected at SIGHUP.")
	return m
}

func (m *Metrics) newCounter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	m.registry.MustRegister(c)
	return c
}

// newRequestCounter returns a counter of requests by class.
func (m *Metrics) newRequestCounter(name, help string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{classLabel})
	m.registry.MustRegister(v)
	return v
}

// RequestEnded counts a request under the class that its client named. Canceled requests are not counted.
func (m *Metrics) RequestEnded(class string, outcome Outcome) {
	if outcome > Canceled && outcome < outcomeCount {
		m.requests[outcome].WithLabelValues(class).Inc()
	}
}

// AttemptSent counts an attempt whose last byte is written.
func (m *Metrics) AttemptSent() { m.attempts.Inc() }

// ConfigReloaded counts a reload of the configuration as applied or rejected.
func (m *Metrics) ConfigReloaded(applied bool) {
	if applied {
		m.reloads.Inc()
	} else {
		m.failedReloads.Inc()
	}
}

// SetClasses sets the classes of the settings. The series of new classes start at 0. Those of removed classes stay
// until more than maxRemovedClasses removed classes have series; then the ones removed first are deleted.
func (m *Metrics) SetClasses(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]bool, len(names))
	for _, name := range names {
		present[name] = true
	}
	m.updateRemoved(present)
	for len(m.removed) > maxRemovedClasses {
		m.deleteSeries(m.removed[0])
		m.removed = m.removed[1:]
	}
	for name := range present {
		m.classes[name] = true
		for _, v := range m.requests[Served:] {
			v.WithLabelValues(name)
		}
	}
}

// updateRemoved adds the classes that are no longer in the settings to m.removed, and deletes those that are in the
// settings again. Called with mu held.
func (m *Metrics) updateRemoved(present map[string]bool) {
	for name, inSettings := range m.classes {
		if inSettings && !present[name] {
			m.classes[name] = false
			m.removed = append(m.removed, name)
		}
	}
	stillRemoved := m.removed[:0]
	for _, name := range m.removed {
		if !present[name] {
			stillRemoved = append(stillRemoved, name)
		}
	}
	m.removed = stillRemoved
}

// deleteSeries deletes the series of a class. Called with mu held.
func (m *Metrics) deleteSeries(class string) {
	for _, v := range m.requests[Served:] {
		v.DeleteLabelValues(class)
	}
	delete(m.classes, class)
}

// ClassCount returns the number of classes that have series, removed ones included.
func (m *Metrics) ClassCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.classes)
}

// Handler returns the HTTP handler for scrapes. It serves all metrics in Prometheus's text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}
