package ingress

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestEndToEndHeaders_DropsHopByHopHeaders(t *testing.T) {
	header := http.Header{
		"Accept": {"a", "b"}, "Connection": {"X-One, x-two", "close"}, "X-One": {"1"}, "X-Two": {"2"},
		"Keep-Alive": {"timeout=5"},
	}
	assert.Equal(t, http.Header{"Accept": {"a", "b"}}, endToEndHeaders(header))
	assert.Len(t, header, 5, "the original must not be changed")
}
