package backend

import (
	"context"
	"strings"
	"testing"
	"time"
)

func TestEncodeRequest(t *testing.T) {
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(time.Hour))
	defer cancel()
	text, err := encodeRequest(ctx, newPost(), Body{Buffered: []byte("\x00body")})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"POST /issue-policy?a=%zz;b HTTP/1.1\r\nHost: api.internal\r\n",
		"Idempotency-Key: k1\r\n", "X-Correlation-Id: id1\r\n", "X-Time-Left-Ms: 3599", "\r\n\r\n\x00body"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("%q is not in %q", want, text)
		}
	}
}
