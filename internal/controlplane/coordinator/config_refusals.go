package coordinator

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/logkey"
	"pumiceline/internal/message"
)

// Reasons of a change of the configuration that was not acknowledged.
const (
	refusalInvalid   = "invalid"
	refusalStale     = "stale" // it is based on an older version than the one in force
	refusalTooLarge  = "too_large"
	refusalUndecided = "undecided" // not refused: it got no answer in time, and may come into force
	refusalOther     = "other"
)

// maxLoggedAnswerBytes bounds what the log has of an answer, which may name many faults.
const maxLoggedAnswerBytes = 400

// configRefusals counts and logs the changes that this coordinator answered with a refusal.
type configRefusals struct {
	registry *prometheus.Registry
	changes  *prometheus.CounterVec
}

func newConfigRefusals() *configRefusals {
	r := &configRefusals{registry: prometheus.NewRegistry(), changes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pumiceline_config_refused_changes_total",
		Help: "Changes of the configuration that were not acknowledged, by reason.",
	}, []string{"reason"})}
	r.registry.MustRegister(r.changes)
	for _, reason := range []string{refusalInvalid, refusalStale, refusalTooLarge, refusalUndecided, refusalOther} {
		r.changes.WithLabelValues(reason)
	}
	return r
}

// serveMetrics answers GET /metrics.
func (r *configRefusals) serveMetrics(w http.ResponseWriter, request *http.Request) {
	promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{}).ServeHTTP(w, request)
}

// count counts the answer to a request if the request is a change and the answer no acknowledgement.
func (r *configRefusals) count(request *message.ConfigRequest, status int, explanation string) {
	if request.Method == http.MethodGet || status == http.StatusOK {
		return
	}
	reason := refusalReason(status)
	r.changes.WithLabelValues(reason).Inc()
	logrus.WithFields(logrus.Fields{
		logkey.Method: request.Method, logkey.Base: request.IfMatch, logkey.Status: status, logkey.Reason: reason,
		logkey.Answer: explanation[:min(len(explanation), maxLoggedAnswerBytes)],
	}).Info("change of the configuration refused")
}

func refusalReason(status int) string {
	switch status {
	case http.StatusBadRequest:
		return refusalInvalid
	case http.StatusPreconditionFailed:
		return refusalStale
	case http.StatusRequestEntityTooLarge:
		return refusalTooLarge
	case http.StatusGatewayTimeout:
		return refusalUndecided
	}
	return refusalOther
}
