package bootstrap

import (
	"runtime"
	"runtime/debug"
)

// memoryShare is the fraction of the machine's memory limit that is set as the Go runtime's soft limit. Above it the
// garbage collector runs more often. The rest is a reserve for memory that the runtime does not count, such as socket
// buffers.
const memoryShare = 0.6

// bodyMemoryShare is the fraction of the machine's memory limit that bodies of requests may take together. Copies made
// while they grow, and garbage of those that are done, take as much again.
const bodyMemoryShare = 1.0 / 6

// headMemoryShare is the fraction of the machine's memory limit that unfinished request heads may take together.
const headMemoryShare = 1.0 / 12

// BodyBytes is the limit on the bodies that all requests in flight of the process may have read together.
func (l *Limits) BodyBytes() int64 { return int64(float64(l.MemoryMB) * bodyMemoryShare * (1 << 20)) }

// HeadBytes is the limit on what the unfinished heads of all client requests may take together, beside a fixed part of
// each.
func (l *Limits) HeadBytes() int64 { return int64(float64(l.MemoryMB) * headMemoryShare * (1 << 20)) }

// ApplyRuntimeLimits sets the Go runtime's limits for the process: one thread runs Go code, and memory has a soft
// limit.
func (s *Settings) ApplyRuntimeLimits() {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMB) * memoryShare * (1 << 20)))
}
