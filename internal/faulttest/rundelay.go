package faulttest

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// RunDelay returns how long the threads of the process were runnable but waited for a processor. It
// distinguishes a process that an overloaded machine slows down from a process that is slow by itself.
func (p *Process) RunDelay() (time.Duration, error) { return RunDelay(p.cmd.Process.Pid) }

// RunDelay returns how long the current threads of a process were runnable but waited for a processor. Threads that
// have ended do not count. It fails once the process has ended.
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
