package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Gauges are the functions that each scrape calls to read the gauges. They must return at once.
type Gauges struct {
	InFlight  func() int // requests accepted and not ended
	Backends  func() int // on the endpoint list
	Unhealthy func() int // listed backends that get no new requests now
	// TableSizes returns the numbers of entries in tables that could leak memory, by table name. nil: not exported.
	TableSizes func() map[string]int
}

// RegisterGauges registers the gauges and client_golang's collectors for the process and the Go runtime. Call it once:
// a second registration panics.
func (m *Metrics) RegisterGauges(g Gauges) {
	m.registerGauge("svc_current", "Requests accepted and not ended.", g.InFlight)
	m.registerGauge("svc_cluster_size", "Backends on the endpoint list.", g.Backends)
	m.registerGauge("svc_cluster_unhealthy",
		"Listed backends that get no new requests now, disabled by operators or avoided by the policy.", g.Unhealthy)
	if g.TableSizes != nil {
		m.registry.MustRegister(&tableSizes{read: g.TableSizes,
			desc: prometheus.NewDesc("svc_kept", "Entries held in memory, by what they are held for.", []string{"what"}, nil)})
	}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
}

func (m *Metrics) registerGauge(name, help string, read func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help},
		func() float64 { return float64(read()) }))
}

// tableSizes collects all series of svc_kept with one call of read, so that a scrape takes the lock of each table's
// owner once, and not once per series.
type tableSizes struct {
	read func() map[string]int
	desc *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (t *tableSizes) Describe(descs chan<- *prometheus.Desc) { descs <- t.desc }

// Collect implements prometheus.Collector.
func (t *tableSizes) Collect(metrics chan<- prometheus.Metric) {
	for table, n := range t.read() {
		metrics <- prometheus.MustNewConstMetric(t.desc, prometheus.GaugeValue, float64(n), table)
	}
}
