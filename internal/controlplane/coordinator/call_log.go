package coordinator

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pumiceline/internal/logkey"
)

// callLog logs each call to the control address at debug level, and counts the calls in flight. The log shows whether
// a call was not answered, was answered with a status that the API does not allow, or was cut by a shutdown.
type callLog struct {
	next     http.Handler
	inFlight atomic.Int64
}

// ServeHTTP lets next answer the call, and logs the call even if next panics to cut the connection.
func (l *callLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.inFlight.Add(1)
	arrived := time.Now()
	recorder := &statusRecorder{ResponseWriter: w}
	defer func() {
		l.inFlight.Add(-1)
		logrus.WithFields(logrus.Fields{
			logkey.Method: r.Method, logkey.Path: r.URL.RequestURI(), logkey.Status: recorder.status,
			logkey.TotalMs: time.Since(arrived).Milliseconds(),
		}).Debug("call done")
	}()
	l.next.ServeHTTP(recorder, r)
}

// statusRecorder records the status of a response; 0: none was sent.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader sends the status.
func (r *statusRecorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body. Without a status sent before, the status is 200.
func (r *statusRecorder) Write(part []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	return r.ResponseWriter.Write(part)
}

// Unwrap returns the server's own writer, for http.ResponseController.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
