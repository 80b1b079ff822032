package fakesystem

import "sync"

// ExecutionCounter counts how often each request ran, over all backends. It is safe for concurrent use.
type ExecutionCounter struct {
	mu     sync.Mutex
	counts map[string]int // by request ID
}

// NewExecutionCounter returns a counter without executions.
func NewExecutionCounter() *ExecutionCounter { return &ExecutionCounter{counts: map[string]int{}} }

func (c *ExecutionCounter) record(requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[requestID]++
}

// Count returns how often a request ran.
func (c *ExecutionCounter) Count(requestID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[requestID]
}
