package soak

import (
	"errors"
	"os"
	"time"

	"pumiceline/internal/faulttest"
)

// fillDisk makes the writes of a process to files fail for a time. The caller holds n.mu.
func (f *fleet) fillDisk(n *node, duration time.Duration) {
	if n.isDiskFull {
		return
	}
	n.isDiskFull = true
	process := n.process
	f.signal(n, FaultDiskFull, process.RefuseWrites)
	time.AfterFunc(duration, func() { f.freeDisk(n, process) })
}

// freeDisk ends what fillDisk began, unless the process has ended since.
func (f *fleet) freeDisk(n *node, process *faulttest.Process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != process {
		return
	}
	n.isDiskFull = false
	if err := process.AcceptWrites(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		f.harness.Record(n.Name, "%v", err)
	}
	f.recorder.fault(n.Name, n.instance, FaultDiskFree)
}
