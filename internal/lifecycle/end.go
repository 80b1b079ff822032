package lifecycle

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"pumiceline/internal/logkey"
)

// Times and sizes of end records.
const (
	endRecordTimeout = 200 * time.Millisecond // for the record of an end: the disk may be stalled
	maxCrashBytes    = 2 << 10                // of a crash report that are kept as a reason
	maxRecordBytes   = 64 << 10               // a larger file is not a record
	recordMode       = 0o644
	folderMode       = 0o755
)

// reasonUnrecorded is the reason of an end that left neither a record nor a crash report.
const reasonUnrecorded = "no end is recorded: the process was killed, or the machine lost power"

// End is the end of a process.
type End struct {
	StartedAt time.Time `json:"startedAt"`
	EndedAt   time.Time `json:"endedAt,omitzero"` // zero: not known
	ExitCode  int       `json:"exitCode"`
	Reason    string    `json:"reason"`
}

// EndRecorder keeps the reason of each end of a program beside its state. The file holds the start while the process
// runs, so a process that was killed is told from one that recorded its end. Crash reports of the Go runtime go to a
// second file.
type EndRecorder struct {
	process *Process
	path    string        // of the record; empty: the machine has no disk
	begun   chan struct{} // closed when the record of the start is written
}

// NewEndRecorder reads how the program ended before, and records the start. It does so in the background, because the
// disk may be stalled. An empty dir stands for a machine without a disk.
func NewEndRecorder(process *Process, dir, program string) *EndRecorder {
	r := &EndRecorder{process: process, begun: make(chan struct{})}
	if dir == "" {
		return r
	}
	r.path = filepath.Join(dir, program+".process.json")
	go func() {
		defer close(r.begun)
		if err := r.begin(); err != nil {
			logrus.WithError(err).Warn("the end of this process will not be recorded")
		}
	}()
	return r
}

func (r *EndRecorder) begin() error {
	if err := os.MkdirAll(filepath.Dir(r.path), folderMode); err != nil {
		return fmt.Errorf("make the state folder: %w", err)
	}
	previous, err := readEnd(r.path)
	if err != nil {
		logrus.WithError(err).Warn("the end of the previous process is not readable")
	}
	crashPath := r.path + ".crash"
	if previous != nil && previous.EndedAt.IsZero() {
		previous.Reason = crashReason(crashPath)
	}
	if previous != nil {
		r.process.previousEnd.Store(previous)
		logrus.WithField(logkey.Reason, previous.Reason).Info("end of the previous process")
	}
	if err := r.write(End{StartedAt: r.process.startedAt}); err != nil {
		return err
	}
	crash, err := os.Create(crashPath)
	if err != nil {
		return fmt.Errorf("open the file for crash reports: %w", err)
	}
	defer crash.Close() // the runtime has its own descriptor
	return debug.SetCrashOutput(crash, debug.CrashOptions{})
}

// Record records the end of this process. It returns once the record is written, or after a short time if the disk does
// not take it.
func (r *EndRecorder) Record(exitCode int, reason string) {
	if r.path == "" {
		return
	}
	done := make(chan error, 1)
	go func() {
		<-r.begun
		done <- r.write(End{StartedAt: r.process.startedAt, EndedAt: time.Now(), ExitCode: exitCode, Reason: reason})
	}()
	select {
	case err := <-done:
		if err != nil {
			logrus.WithError(err).Warn("the end of this process is not recorded")
		}
	case <-time.After(endRecordTimeout):
		logrus.Warn("the end of this process is not recorded: the disk does not take it in time")
	}
}

func (r *EndRecorder) write(end End) error {
	text, err := json.Marshal(end)
	if err != nil {
		return fmt.Errorf("encode the end record: %w", err)
	}
	if err := os.WriteFile(r.path, text, recordMode); err != nil {
		return fmt.Errorf("write the end record: %w", err)
	}
	return nil
}

// readEnd reads a record. It returns nil if there is none.
func readEnd(path string) (*End, error) {
	text, err := readBounded(path, maxRecordBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read the end record: %w", err)
	}
	var end End
	if err := json.Unmarshal(text, &end); err != nil {
		return nil, fmt.Errorf("decode the end record: %w", err)
	}
	return &end, nil
}

// crashReason returns the beginning of the crash report that the Go runtime left, or reasonUnrecorded.
func crashReason(path string) string {
	report, err := readBounded(path, maxCrashBytes)
	if err != nil || len(report) == 0 {
		return reasonUnrecorded
	}
	return strings.TrimSpace(string(report))
}

// readBounded reads a file up to a number of bytes.
func readBounded(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, limit))
}
