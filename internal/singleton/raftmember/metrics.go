package raftmember

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

var (
	leaderDesc = prometheus.NewDesc("owner_member_leader",
		"ID of the member that leads, as this one knows it; 0: none.", nil, nil)
	termDesc = prometheus.NewDesc("owner_member_term",
		"Raft term.", nil, nil)
	appliedDesc = prometheus.NewDesc("owner_member_applied",
		"Index of the last applied log entry.", nil, nil)
	holderChangesDesc = prometheus.NewDesc("owner_changes_total",
		"Changes of lease holders since this member started.", nil, nil)
	instancesDesc = prometheus.NewDesc("owner_instances",
		"Instances that sent a heartbeat within a lease; at the leader only.", nil, nil)
	tokenDesc = prometheus.NewDesc("owner_work_token",
		"Fencing token of the role's last lease.", []string{"work"}, nil)
	heldDesc = prometheus.NewDesc("owner_work_owned",
		"1 while an instance holds the role's lease.", []string{"work"}, nil)
	progressAgeDesc = prometheus.NewDesc("owner_work_progress_age_seconds",
		"Time since the holder's latest progress; at the leader only.", []string{"work"}, nil)
)

// statusCollector exports a Status as metrics. It implements prometheus.Collector.
type statusCollector Status

// Describe implements prometheus.Collector.
func (s statusCollector) Describe(to chan<- *prometheus.Desc) { prometheus.DescribeByCollect(s, to) }

// Collect implements prometheus.Collector.
func (s statusCollector) Collect(to chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	gauge(leaderDesc, float64(s.Leader))
	gauge(termDesc, float64(s.Term))
	gauge(appliedDesc, float64(s.Applied))
	to <- prometheus.MustNewConstMetric(holderChangesDesc, prometheus.CounterValue, float64(s.HolderChanges))
	if s.Leader == s.ID {
		gauge(instancesDesc, float64(len(s.Instances)))
	}
	for role, a := range s.Assignments {
		gauge(tokenDesc, float64(a.Token), role)
		held := 0.0
		if a.Holder != "" {
			held = 1
		}
		gauge(heldDesc, held, role)
		if ms, known := s.ProgressAgeMs[role]; known {
			gauge(progressAgeDesc, float64(ms)/1000, role)
		}
	}
}

func (m *Member) handleMetrics(w http.ResponseWriter, r *http.Request) {
	s, ok := m.status(r.Context())
	if !ok {
		return
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(statusCollector(s))
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true}).ServeHTTP(w, r)
}
