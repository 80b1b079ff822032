package bootstrap

import (
	"runtime"
	"runtime/debug"
)

// memoryShare is the fraction of the machine's memory limit that is set as the Go runtime's soft limit. Above it the
// garbage collector runs more often. The rest is a reserve for memory that the runtime does not count, such as socket
// buffers.
const memoryShare = 0.6

// ApplyRuntimeLimits sets the Go runtime's limits for the process: one thread runs Go code, and memory has a soft
// limit.
func (s *Settings) ApplyRuntimeLimits() {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMB) * memoryShare * (1 << 20)))
}
