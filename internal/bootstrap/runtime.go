package bootstrap

import (
	"runtime"
	"runtime/debug"
)

// memoryShare is the part of the machine's limit that the collector may fill before it works harder.
const memoryShare = 0.6

// ApplyRuntime fits the Go runtime to the machine's limits.
func (s *Settings) ApplyRuntime() {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMB) * memoryShare * (1 << 20)))
}
