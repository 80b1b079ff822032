package ingress

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCompleteEvents(t *testing.T) {
	tests := []struct {
		name, text, complete string
	}{
		{"empty", "", ""},
		{"incomplete event", "data: a\n", ""},
		{"one event", "data: a\n\n", "data: a\n\n"},
		{"one event and an incomplete one", "data: a\n\ndata: b\n", "data: a\n\n"},
		{"two events", "data: a\n\ndata: b\n\n", "data: a\n\ndata: b\n\n"},
		{"lines that end with CRLF", "data: a\r\n\r\ndata", "data: a\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.complete, test.text[:completeEvents([]byte(test.text))])
		})
	}
}

func TestLastEventID(t *testing.T) {
	assert.Empty(t, lastEventID([]byte("data: a\n\n")))
	assert.Equal(t, "2", lastEventID([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\n\ndata: c\n\n")))
}
