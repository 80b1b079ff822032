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
	"golang.org/x/sys/unix"

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
	StartedAt time.Time `json:"startedAt,omitzero"` // zero: not known
	EndedAt   time.Time `json:"endedAt,omitzero"`   // zero: not known
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
	unlock, lockErr := r.lock()
	defer unlock()
	crashPath := r.path + ".crash"
	if previous := readPreviousEnd(r.path, crashPath); previous != nil {
		r.process.previousEnd.Store(previous)
		logrus.WithField(logkey.Reason, previous.Reason).Info("end of the previous process")
	}
	return errors.Join(lockErr, r.write(End{StartedAt: r.process.startedAt}), keepCrashReport(crashPath))
}

// lock keeps other processes of the program from the record until unlock is called or this process ends. A process may
// start while the one before it still drains, and both write the record.
func (r *EndRecorder) lock() (unlock func(), err error) {
	file, err := os.OpenFile(r.path+".lock", os.O_WRONLY|os.O_CREATE, recordMode)
	if err != nil {
		return func() {}, fmt.Errorf("open the lock of the end record: %w", err)
	}
	for {
		err = unix.Flock(int(file.Fd()), unix.LOCK_EX)
		if !errors.Is(err, unix.EINTR) {
			break
		}
	}
	if err != nil {
		file.Close()
		return func() {}, fmt.Errorf("lock the end record: %w", err)
	}
	return func() { file.Close() }, nil
}

// keepCrashReport has the Go runtime write a crash report to a file too.
func keepCrashReport(path string) error {
	crash, err := os.Create(path)
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
	end := End{StartedAt: r.process.startedAt, EndedAt: time.Now(), ExitCode: exitCode, Reason: reason}
	go func() {
		<-r.begun
		done <- r.writeUnlessReplaced(end)
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

// errReplaced is the error for the end of a process whose successor has started.
var errReplaced = errors.New("the record is that of a process which started later")

// writeUnlessReplaced writes the end of this process, unless the record is that of its successor: a process may start
// while the one before it still drains.
func (r *EndRecorder) writeUnlessReplaced(end End) error {
	unlock, err := r.lock()
	if err != nil {
		return err
	}
	defer unlock()
	newest, err := readEnd(r.path)
	if err == nil && newest != nil && newest.StartedAt.After(end.StartedAt) {
		return errReplaced
	}
	return r.write(end)
}

// write replaces the record. A failure or a loss of power leaves the record that was there before.
func (r *EndRecorder) write(end End) error {
	text, err := json.Marshal(end)
	if err != nil {
		return fmt.Errorf("encode the end record: %w", err)
	}
	next := r.path + ".new"
	if err := writeSynced(next, text); err != nil {
		return fmt.Errorf("write the end record: %w", err)
	}
	if err := os.Rename(next, r.path); err != nil {
		return fmt.Errorf("replace the end record: %w", err)
	}
	return nil
}

// writeSynced writes a file and makes its contents durable.
func writeSynced(path string, text []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, recordMode)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := file.Write(text); err != nil {
		return err
	}
	return file.Sync()
}

// readPreviousEnd returns the end of the process before: as it recorded it, or as its crash report has it. It returns
// nil if no process ran before.
func readPreviousEnd(path, crashPath string) *End {
	previous, err := readEnd(path)
	if err != nil {
		previous = &End{Reason: "the end record is not readable: " + err.Error()}
	}
	if previous == nil || !previous.EndedAt.IsZero() {
		return previous
	}
	if report := readCrashReport(crashPath); report != "" {
		previous.Reason = report
	} else if err == nil {
		previous.Reason = reasonUnrecorded
	}
	return previous
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

// readCrashReport returns the beginning of the crash report that the Go runtime left; empty: there is none.
func readCrashReport(path string) string {
	report, err := readBounded(path, maxCrashBytes)
	if err != nil {
		return ""
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
