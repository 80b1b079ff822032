package backend

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestParseLoad(t *testing.T) {
	load, ok := ParseLoad("3, 4,5")
	assert.True(t, ok)
	assert.Equal(t, Load{Running: 3, Waiting: 4, Slots: 5}, load)
	for _, malformed := range []string{"", "3,4", "3,4,5,6", "3,x,5", "3,-4,5"} {
		load, ok := ParseLoad(malformed)
		assert.False(t, ok, malformed)
		assert.Zero(t, load, malformed)
	}
}

func TestIdleTime(t *testing.T) {
	tests := []struct {
		name, keepAlive string
		want            time.Duration
	}{
		{"no header", "", defaultIdleTime},
		{"no time-out", "max=100", defaultIdleTime},
		{"time-out", "timeout=10, max=100", 10*time.Second - keepAliveMargin},
		{"time-out shorter than the margin", "Timeout=0", 0},
		{"malformed time-out", "timeout=soon", defaultIdleTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.want, idleTime(http.Header{"Keep-Alive": {test.keepAlive}}))
		})
	}
}
