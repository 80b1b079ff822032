package raftmember

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// What a member's figures mean.
var (
	leaderFigure   = prometheus.NewDesc("owner_member_leader", "Number of the member that leads, as this one knows it; 0: none.", nil, nil)
	termFigure     = prometheus.NewDesc("owner_member_term", "Term of the agreement.", nil, nil)
	appliedFigure  = prometheus.NewDesc("owner_member_applied", "Entry of the log that was carried out last.", nil, nil)
	changesFigure  = prometheus.NewDesc("owner_changes_total", "Changes of owners since this member started.", nil, nil)
	instanceFigure = prometheus.NewDesc("owner_instances", "Instances heard within a lease; of the leader alone.", nil, nil)
	tokenFigure    = prometheus.NewDesc("owner_work_token", "Token of the work's last owner.", []string{"work"}, nil)
	ownedFigure    = prometheus.NewDesc("owner_work_owned", "1 while somebody owns the work.", []string{"work"}, nil)
	ageFigure      = prometheus.NewDesc("owner_work_progress_age_seconds", "Since the owner's latest progress; of the leader alone.", []string{"work"}, nil)
)

// figures is a Status as prometheus wants it.
type figures Status

// Describe and Collect are prometheus.Collector's.
func (f figures) Describe(to chan<- *prometheus.Desc) { prometheus.DescribeByCollect(f, to) }
func (f figures) Collect(to chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	gauge(leaderFigure, float64(f.Leader))
	gauge(termFigure, float64(f.Term))
	gauge(appliedFigure, float64(f.Applied))
	to <- prometheus.MustNewConstMetric(changesFigure, prometheus.CounterValue, float64(f.Changes))
	if f.Leader == f.ID {
		gauge(instanceFigure, float64(len(f.Instances)))
	}
	for work, w := range f.Works {
		gauge(tokenFigure, float64(w.Token), work)
		owned := 0.0
		if w.Holder != "" {
			owned = 1
		}
		gauge(ownedFigure, owned, work)
		if ms, there := f.AgeMs[work]; there {
			gauge(ageFigure, float64(ms)/1000, work)
		}
	}
}

// tellMetrics answers with the member's figures as text.
func (m *Member) tellMetrics(w http.ResponseWriter, r *http.Request) {
	s, ok := m.status(r)
	if !ok {
		return
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(figures(s))
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true}).ServeHTTP(w, r)
}
