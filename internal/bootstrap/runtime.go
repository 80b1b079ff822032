package bootstrap

import (
	"runtime"
	"runtime/debug"
)

// memoryShare is the part of the machine's memory limit that becomes the Go runtime's soft limit, beyond which the
// garbage collector works harder. The rest is a reserve for what the runtime does not count, such as socket buffers.
const memoryShare = 0.6

// ApplyRuntimeLimits sets the Go runtime's limits for the process: one thread runs Go code, and the heap has a soft limit.
func (s *Settings) ApplyRuntimeLimits() {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMB) * memoryShare * (1 << 20)))
}
