// Package metrics holds the figures that operators read: one registry for the process, in Prometheus's text format. Counts
// are made where the thing happens; gauges are read from their owners when somebody asks.
package metrics

import (
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Outcome is how a request came to its end.
type Outcome uint8

// Nothing is counted of a request that its client left.
const (
	Cancelled Outcome = iota // the client was gone first
	Served                   // with a destination's whole answer
	Rejected                 // with a busy reply
	Failed                   // with anything else, or an answer that broke off
	outcomes
)

// maxRemovedClasses is how many classes that have left the settings keep their series.
const maxRemovedClasses = 64

// Metrics are the figures. Create them with New; they are safe for concurrent use.
type Metrics struct {
	registry               *prometheus.Registry
	requests               [outcomes]*prometheus.CounterVec
	attempts               prometheus.Counter
	reloads, failedReloads prometheus.Counter

	mu      sync.Mutex
	classes map[string]bool // classes with series; false: gone from the settings
	removed []string        // in the order of their going
}

// Gauges are read at each scrape, by functions that return at once.
type Gauges struct {
	InFlight  func() int // requests taken and not ended
	Backends  func() int // destinations in the pool config
	Unhealthy func() int // of these, the ones that get no work now
	// TableSizes is how much is held in memory, by what it is held for. Each figure has to come down again when its cause is gone.
	TableSizes func() map[string]int
}

// New returns figures that begin at 0.
func New() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(), classes: map[string]bool{}}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		m.registry.MustRegister(c)
		return c
	}
	for end, about := range map[Outcome][2]string{
		Served:   {"svc_answered_total", "Requests served with a destination's whole answer."},
		Rejected: {"svc_deferred_total", "Requests refused with a busy reply."},
		Failed:   {"svc_errored_total", "Requests that failed, answers that broke off included."},
	} {
		m.requests[end] = prometheus.NewCounterVec(prometheus.CounterOpts{Name: about[0], Help: about[1]}, []string{"group"})
		m.registry.MustRegister(m.requests[end])
	}
	m.attempts = counter("svc_sends_total", "Route steps written whole to destinations.")
	m.reloads = counter("svc_conf_loaded_total", "Configurations taken over at SIGHUP.")
	m.failedReloads = counter("svc_conf_invalid_total", "Configurations turned down at SIGHUP.")
	return m
}

// RegisterGauges adds the gauges. It is to be called once.
func (m *Metrics) RegisterGauges(g Gauges) {
	for _, k := range []struct {
		name, help string
		read       func() int
	}{
		{"svc_current", "Requests taken and not ended.", g.InFlight},
		{"svc_cluster_size", "Destinations in the pool config.", g.Backends},
		{"svc_cluster_unhealthy", "Listed destinations that get no work now, taken out by hand or by the module.", g.Unhealthy},
	} {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: k.name, Help: k.help},
			func() float64 { return float64(k.read()) }))
	}
	if g.TableSizes != nil {
		m.registry.MustRegister(&tableSizes{read: g.TableSizes,
			desc: prometheus.NewDesc("svc_kept", "Entries held in memory, by what they are held for.", []string{"what"}, nil)})
	}
	// RSS, descriptors, goroutines and the collector's figures, under the names that every Go program has them.
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
}

// tableSizes reads all of svc_kept at once: its figures come from few locks.
type tableSizes struct {
	read func() map[string]int
	desc *prometheus.Desc
}

// Describe and Collect are prometheus.Collector's.
func (k *tableSizes) Describe(to chan<- *prometheus.Desc) { to <- k.desc }
func (k *tableSizes) Collect(to chan<- prometheus.Metric) {
	for what, n := range k.read() {
		to <- prometheus.MustNewConstMetric(k.desc, prometheus.GaugeValue, float64(n), what)
	}
}

// ClassCount is how many classes have series, those that are gone from the settings included.
func (m *Metrics) ClassCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.classes)
}

// SetClasses names the classes that there are now. New ones begin at 0; those that are gone keep their counts, until more than
// maxRemovedClasses have gone since.
func (m *Metrics) SetClasses(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := map[string]bool{}
	for _, name := range names {
		present[name] = true
	}
	for name, here := range m.classes {
		if here && !present[name] {
			m.classes[name] = false
			m.removed = append(m.removed, name)
		}
	}
	kept := m.removed[:0]
	for _, name := range m.removed {
		if !present[name] {
			kept = append(kept, name)
		}
	}
	m.removed = kept
	for len(m.removed) > maxRemovedClasses {
		for _, v := range m.requests[Served:] {
			v.DeleteLabelValues(m.removed[0])
		}
		delete(m.classes, m.removed[0])
		m.removed = m.removed[1:]
	}
	for name := range present {
		m.classes[name] = true
		for _, v := range m.requests[Served:] {
			v.WithLabelValues(name)
		}
	}
}

// RequestEnded counts a request's end under the class that it came with.
func (m *Metrics) RequestEnded(class string, how Outcome) {
	if how > Cancelled && how < outcomes {
		m.requests[how].WithLabelValues(class).Inc()
	}
}

// AttemptSent counts an attempt whose last byte is written.
func (m *Metrics) AttemptSent() { m.attempts.Inc() }

// ConfigReloaded counts a configuration that was taken over at a SIGHUP, or turned down.
func (m *Metrics) ConfigReloaded(taken bool) {
	if taken {
		m.reloads.Inc()
	} else {
		m.failedReloads.Inc()
	}
}

// Handler answers with all figures as text.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}
