package coordinator

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"

	"pumiceline/internal/logkey"
)

func TestCallLog_StatusOfEachCall(t *testing.T) {
	hook := logtest.NewGlobal()
	level := logrus.GetLevel()
	logrus.SetLevel(logrus.DebugLevel)
	t.Cleanup(func() {
		logrus.SetLevel(level)
		logrus.StandardLogger().ReplaceHooks(logrus.LevelHooks{})
	})
	for _, c := range []struct {
		name   string
		answer http.HandlerFunc
		status int
	}{
		{"status and body", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "later", http.StatusServiceUnavailable) }, http.StatusServiceUnavailable},
		{"body alone", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, http.StatusOK},
		{"cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			calls := &callLog{}
			calls.next = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				assert.Equal(t, int64(1), calls.inFlight.Load())
				c.answer(w, r)
			})
			serve := func() {
				calls.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/watch/g.?after=3", nil))
			}
			if c.status == 0 {
				assert.PanicsWithValue(t, http.ErrAbortHandler, serve)
			} else {
				serve()
			}
			entry := hook.LastEntry()
			assert.Equal(t, "call done", entry.Message)
			assert.Equal(t, c.status, entry.Data[logkey.Status])
			assert.Equal(t, "/watch/g.?after=3", entry.Data[logkey.Path])
			assert.Equal(t, int64(0), calls.inFlight.Load())
		})
	}
}
