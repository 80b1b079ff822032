package coordinationclient

import (
	"math/rand/v2"
	"time"
)

// Bounds of the pause between two attempts of a call.
const (
	firstPause = 10 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

// backoff doubles the pause after each attempt. Half of each pause is random, so that callers do not retry in step.
type backoff struct{ pause time.Duration }

func newBackoff() *backoff { return &backoff{pause: firstPause} }

func (b *backoff) next() time.Duration {
	pause := b.pause
	b.pause = min(2*b.pause, maxPause)
	return pause/2 + rand.N(pause/2)
}
