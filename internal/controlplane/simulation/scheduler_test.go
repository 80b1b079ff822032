package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_RunsEventsInOrder(t *testing.T) {
	var s scheduler
	var order []string
	add := func(name string, delay time.Duration) {
		s.after(delay, func() { order = append(order, name) })
	}
	add("late", 3*time.Second)
	add("first at one second", time.Second)
	add("second at one second", time.Second)
	s.after(time.Second, func() { add("added by an event", time.Second) })
	s.runUntil(2 * time.Second)
	assert.Equal(t, []string{"first at one second", "second at one second", "added by an event"}, order)
	assert.Equal(t, 2*time.Second, s.now)
	s.runUntil(10 * time.Second)
	assert.Equal(t, "late", order[len(order)-1])
	assert.Equal(t, 10*time.Second, s.now)
}
