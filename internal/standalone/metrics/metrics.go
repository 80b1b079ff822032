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

// Ended is how a request came to its end.
type Ended uint8

// Nothing is counted of a request that its client left.
const (
	Left     Ended = iota // the client was gone first
	Answered              // with a destination's whole answer
	Deferred              // with a busy reply
	Errored               // with anything else, or an answer that broke off
	ends
)

// mostGone is how many classes that have left the settings keep their series.
const mostGone = 64

// Metrics are the figures. Create them with New; they are safe for concurrent use.
type Metrics struct {
	registry        *prometheus.Registry
	ended           [ends]*prometheus.CounterVec
	sends           prometheus.Counter
	loaded, invalid prometheus.Counter

	mu    sync.Mutex
	shown map[string]bool // classes with series; false: gone from the settings
	gone  []string        // in the order of their going
}

// Gauges are read at each scrape, by functions that return at once.
type Gauges struct {
	Current   func() int // requests taken and not ended
	Size      func() int // destinations in the pool config
	Unhealthy func() int // of these, the ones that get no work now
	// Kept is how much is held in memory, by what it is held for. Each figure has to come down again when its cause is gone.
	Kept func() map[string]int
}

// New returns figures that begin at 0.
func New() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(), shown: map[string]bool{}}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		m.registry.MustRegister(c)
		return c
	}
	for end, about := range map[Ended][2]string{
		Answered: {"svc_answered_total", "Requests served with a destination's whole answer."},
		Deferred: {"svc_deferred_total", "Requests refused with a busy reply."},
		Errored:  {"svc_errored_total", "Requests that failed, answers that broke off included."},
	} {
		m.ended[end] = prometheus.NewCounterVec(prometheus.CounterOpts{Name: about[0], Help: about[1]}, []string{"group"})
		m.registry.MustRegister(m.ended[end])
	}
	m.sends = counter("svc_sends_total", "Route steps written whole to destinations.")
	m.loaded = counter("svc_conf_loaded_total", "Configurations taken over at SIGHUP.")
	m.invalid = counter("svc_conf_invalid_total", "Configurations turned down at SIGHUP.")
	return m
}

// Watch adds the gauges. It is to be called once.
func (m *Metrics) Watch(g Gauges) {
	for _, k := range []struct {
		name, help string
		read       func() int
	}{
		{"svc_current", "Requests taken and not ended.", g.Current},
		{"svc_cluster_size", "Destinations in the pool config.", g.Size},
		{"svc_cluster_unhealthy", "Listed destinations that get no work now, taken out by hand or by the module.", g.Unhealthy},
	} {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: k.name, Help: k.help},
			func() float64 { return float64(k.read()) }))
	}
	if g.Kept != nil {
		m.registry.MustRegister(&kept{read: g.Kept,
			about: prometheus.NewDesc("svc_kept", "Entries held in memory, by what they are held for.", []string{"what"}, nil)})
	}
	// RSS, descriptors, goroutines and the collector's figures, under the names that every Go program has them.
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
}

// kept reads all of svc_kept at once: its figures come from few locks.
type kept struct {
	read  func() map[string]int
	about *prometheus.Desc
}

// Describe and Collect are prometheus.Collector's.
func (k *kept) Describe(to chan<- *prometheus.Desc) { to <- k.about }
func (k *kept) Collect(to chan<- prometheus.Metric) {
	for what, n := range k.read() {
		to <- prometheus.MustNewConstMetric(k.about, prometheus.GaugeValue, float64(n), what)
	}
}

// Shown is how many classes have series, those that are gone from the settings included.
func (m *Metrics) Shown() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.shown)
}

// Classes names the classes that there are now. New ones begin at 0; those that are gone keep their counts, until more than
// mostGone have gone since.
func (m *Metrics) Classes(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := map[string]bool{}
	for _, name := range names {
		present[name] = true
	}
	for name, here := range m.shown {
		if here && !present[name] {
			m.shown[name] = false
			m.gone = append(m.gone, name)
		}
	}
	kept := m.gone[:0]
	for _, name := range m.gone {
		if !present[name] {
			kept = append(kept, name)
		}
	}
	m.gone = kept
	for len(m.gone) > mostGone {
		for _, v := range m.ended[Answered:] {
			v.DeleteLabelValues(m.gone[0])
		}
		delete(m.shown, m.gone[0])
		m.gone = m.gone[1:]
	}
	for name := range present {
		m.shown[name] = true
		for _, v := range m.ended[Answered:] {
			v.WithLabelValues(name)
		}
	}
}

// End counts a request's end under the class that it came with.
func (m *Metrics) End(class string, how Ended) {
	if how > Left && how < ends {
		m.ended[how].WithLabelValues(class).Inc()
	}
}

// Sent counts an attempt whose last byte is written.
func (m *Metrics) Sent() { m.sends.Inc() }

// Loaded counts a configuration that was taken over at a SIGHUP, or turned down.
func (m *Metrics) Loaded(taken bool) {
	if taken {
		m.loaded.Inc()
	} else {
		m.invalid.Inc()
	}
}

// Handler answers with all figures as text.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}
