package fakesystem

import (
	"sync"
	"time"
)

// Execution is one run of a request at a backend.
type Execution struct {
	BackendID string
	StartedAt time.Time
	EndedAt   time.Time // zero while it runs
}

// ExecutionCounter records how often each request ran, over all backends, and when. It is safe for concurrent use.
type ExecutionCounter struct {
	mu         sync.Mutex
	executions map[string][]Execution // by request ID
}

// NewExecutionCounter returns a counter without executions.
func NewExecutionCounter() *ExecutionCounter {
	return &ExecutionCounter{executions: map[string][]Execution{}}
}

// begin records that a request starts to run. The caller calls end when the run is over.
func (c *ExecutionCounter) begin(requestID, backendID string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := len(c.executions[requestID])
	c.executions[requestID] = append(c.executions[requestID], Execution{BackendID: backendID, StartedAt: time.Now()})
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.executions[requestID][index].EndedAt = time.Now()
	}
}

// Count returns how often a request ran.
func (c *ExecutionCounter) Count(requestID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.executions[requestID])
}

// All returns a copy of the executions of all requests, by request ID.
func (c *ExecutionCounter) All() map[string][]Execution {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string][]Execution, len(c.executions))
	for id, executions := range c.executions {
		all[id] = append([]Execution(nil), executions...)
	}
	return all
}
