package ctxtime

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestSleep_ReturnsAfterDurationOrContextEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	started := time.Now()
	assert.NoError(t, Sleep(ctx, time.Millisecond))
	assert.GreaterOrEqual(t, time.Since(started), time.Millisecond)
	cancel()
	assert.ErrorIs(t, Sleep(ctx, time.Hour), context.Canceled)
}
