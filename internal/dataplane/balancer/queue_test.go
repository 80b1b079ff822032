package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestQueue_OrderedByPriorityThenDeadline(t *testing.T) {
	full := plainBackend("a")
	full.Capacity = 1
	b := newBalancer(t, full)
	first := newRequest("plain", "", start)
	result, _ := submit(b, first, start)
	var all []*Request
	for i, priority := range []int{2, 0, 1, 0} {
		r := newRequest("plain", "", start)
		r.Priority, r.Deadline = priority, start.Add(time.Duration(20-i)*time.Second)
		_, waiting := submit(b, r, start)
		require.True(t, waiting)
		all = append(all, r)
	}
	order := ""
	for range all {
		b.Finish(first, result.Backend, Succeeded, time.Millisecond, start)
		for i, r := range all {
			select {
			case result = <-r.result:
				first, order = r, order+fmt.Sprint(i)
			default:
			}
		}
	}
	assert.Equal(t, "3120", order)
}
