package faulttest

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// RunDelay is how long the threads of the process have waited for a processor while they could run. It tells a process that
// the machine holds up from one that is slow by itself.
func (p *Process) RunDelay() (time.Duration, error) { return RunDelay(p.cmd.Process.Pid) }

// RunDelay is how long the threads that a process has now have waited for a processor while they could run. It fails once
// the process has ended.
func RunDelay(pid int) (time.Duration, error) {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(paths) == 0 {
		return 0, fmt.Errorf("run delay of process %d: it has no threads: %w", pid, os.ErrNotExist)
	}
	var total time.Duration
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has just ended
		}
		var running, waiting int64 // nanoseconds
		if _, err := fmt.Sscan(string(text), &running, &waiting); err != nil {
			return 0, fmt.Errorf("run delay of process %d: %w", pid, err)
		}
		total += time.Duration(waiting)
	}
	return total, nil
}
