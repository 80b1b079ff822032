package lifecycle

import (
	"sync/atomic"
	"time"
)

// Process is the state that a process of the system has whatever its program is. It is safe for concurrent use.
type Process struct {
	Waits
	startedAt   time.Time
	previousEnd atomic.Pointer[End]
	droppedLogs func() int64 // nil: the log drops nothing
}

// NewProcess returns the state of this process. droppedLogs returns how many log records were dropped; nil: none are.
func NewProcess(droppedLogs func() int64) *Process {
	return &Process{startedAt: time.Now(), droppedLogs: droppedLogs}
}

// Status is the part of a program's status that all programs share.
type Status struct {
	StartedAt time.Time `json:"startedAt"`
	Waits     []Wait    `json:"waits,omitempty"` // conditions that the process waits for
	// DroppedLogRecords is the number of log records that were dropped because nobody read the log in time.
	DroppedLogRecords int64 `json:"droppedLogRecords"`
	// PreviousEnd is the end of the process before on this machine's disk; nil: none is recorded.
	PreviousEnd *End `json:"previousEnd,omitempty"`
}

// Status returns the state of this moment.
func (p *Process) Status() Status {
	status := Status{StartedAt: p.startedAt, Waits: p.Current(), PreviousEnd: p.previousEnd.Load()}
	if p.droppedLogs != nil {
		status.DroppedLogRecords = p.droppedLogs()
	}
	return status
}
