package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

var errInjected = errors.New("injected disk fault")

// writeOutcome is the injected result of one write to the ring.
type writeOutcome int

const (
	writeSucceeds writeOutcome = iota
	writeRefused               // nothing is written
	writeTorn                  // the first half of the bytes is written, and the write fails
	syncFails                  // all bytes are in the operating system's cache, but none is durable
)

// crash is the injected fault after a write.
type crash int

const (
	noCrash       crash = iota
	processKilled       // the operating system's cache is kept
	powerLost           // unsynced writes are lost
	powerTorn           // only the first half of each unsynced write is durable
	powerReversed       // only the second half of each unsynced write is durable, as a disk may write sectors in any order
)

// faultyFile is a segment in memory that grows as it is written. It keeps a list of its unsynced writes.
type faultyFile struct {
	cached, durable []byte
	unsynced        []unsyncedWrite
	outcome         *writeOutcome // of the ring's current write
}

type unsyncedWrite struct {
	offset  int64
	content []byte
}

func (f *faultyFile) ReadAt(p []byte, offset int64) (int, error) {
	clear(p)
	if offset < int64(len(f.cached)) {
		copy(p, f.cached[offset:])
	}
	return len(p), nil
}

func (f *faultyFile) WriteAt(p []byte, offset int64) (int, error) {
	switch *f.outcome {
	case writeRefused:
		return 0, errInjected
	case writeTorn:
		f.write(p[:len(p)/2], offset)
		return len(p) / 2, errInjected
	default:
		f.write(p, offset)
		return len(p), nil
	}
}

func (f *faultyFile) write(p []byte, offset int64) {
	f.cached = overwrite(f.cached, p, offset)
	f.unsynced = append(f.unsynced, unsyncedWrite{offset: offset, content: append([]byte{}, p...)})
}

func (f *faultyFile) Sync() error {
	if *f.outcome == syncFails {
		return errInjected
	}
	f.durable = append([]byte{}, f.cached...)
	f.unsynced = nil
	return nil
}

// losePower keeps the durable content, and the parts of the unsynced writes that the kind of crash leaves.
func (f *faultyFile) losePower(kind crash) {
	for _, w := range f.unsynced {
		half := len(w.content) / 2
		switch kind {
		case powerTorn:
			f.durable = overwrite(f.durable, w.content[:half], w.offset)
		case powerReversed:
			f.durable = overwrite(f.durable, w.content[half:], w.offset+int64(half))
		}
	}
	f.unsynced = nil
	f.cached = append([]byte{}, f.durable...)
}

func overwrite(content, p []byte, offset int64) []byte {
	if missing := int(offset) + len(p) - len(content); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[offset:], p)
	return content
}

// faultyDisk is a ring on faulty files together with the numbers that its user may rely on. Write number n stores n as
// kind 1 and as kind 2, as the coordinator does with the control state and the chain state.
type faultyDisk struct {
	t       require.TestingT
	files   []File
	outcome writeOutcome
	ring    *Ring
	// acknowledged is the newest number that was written without an error or found at opening.
	acknowledged, attempted uint64
}

func newFaultyDisk(t require.TestingT) *faultyDisk {
	d := &faultyDisk{t: t}
	for range SegmentCount {
		d.files = append(d.files, &faultyFile{outcome: &d.outcome})
	}
	d.open("start")
	return d
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func parseNumber(record []byte) uint64 {
	if record == nil {
		return 0
	}
	return binary.BigEndian.Uint64(record)
}

// write stores the next number. Like the coordinator, it appends the number to kind 2 if that is possible.
func (d *faultyDisk) write(outcome writeOutcome) {
	d.outcome = outcome
	d.attempted++
	n := number(d.attempted)
	control := map[Kind][]byte{1: n}
	var err error
	if d.ring.CanAppend(FrameBytes(n), control) {
		err = d.ring.Append(2, [][]byte{n}, control)
	} else {
		err = d.ring.Write(map[Kind][]byte{1: n, 2: n})
	}
	if err == nil {
		d.acknowledged = d.attempted
	}
	d.outcome = writeSucceeds
}

func (d *faultyDisk) restart(kind crash, trace string) {
	if kind == noCrash {
		return
	}
	if kind != processKilled {
		for _, file := range d.files {
			file.(*faultyFile).losePower(kind)
		}
	}
	d.open(trace)
}

// open reopens the ring. It fails the test if an acknowledged number is lost, or if a control state is found without
// the chain state that was written with it. The number found counts as acknowledged from then on.
func (d *faultyDisk) open(trace string) {
	ring, err := OpenFiles(d.files)
	require.NoError(d.t, err, trace)
	require.NoError(d.t, ring.SyncFound(), trace)
	control := parseNumber(ring.Newest(1))
	chain := parseNumber(ring.Newest(2))
	if appended := ring.Appended(2); len(appended) > 0 {
		chain = parseNumber(appended[len(appended)-1])
	}
	if control < d.acknowledged || chain < d.acknowledged || control > chain || chain > d.attempted {
		require.Failf(d.t, "lost or torn state", "%s: acknowledged %d of %d, found control state %d, chain state %d",
			trace, d.acknowledged, d.attempted, control, chain)
	}
	d.ring, d.acknowledged = ring, control
}

// step is a write and the crash that follows it.
type step struct {
	outcome writeOutcome
	crash   crash
}

// forEachSequence calls play with each sequence of the given length.
func forEachSequence(steps []step, length int, play func([]step)) {
	sequence := make([]step, length)
	var extend func(int)
	extend = func(at int) {
		if at == length {
			play(sequence)
			return
		}
		for _, s := range steps {
			sequence[at] = s
			extend(at + 1)
		}
	}
	extend(0)
}

func crossSteps(outcomes []writeOutcome, crashes []crash) []step {
	var steps []step
	for _, outcome := range outcomes {
		for _, crash := range crashes {
			steps = append(steps, step{outcome: outcome, crash: crash})
		}
	}
	return steps
}

func play(t require.TestingT, sequence []step, last crash) {
	disk := newFaultyDisk(t)
	disk.write(writeSucceeds)
	for _, s := range sequence {
		disk.write(s.outcome)
		disk.restart(s.crash, fmt.Sprint(sequence))
	}
	disk.restart(last, fmt.Sprint(sequence, last))
	disk.write(writeSucceeds)
	disk.restart(powerLost, fmt.Sprint(sequence, last))
}

var allCrashes = []crash{processKilled, powerLost, powerTorn, powerReversed}

// A crash after up to seven writes loses no acknowledged record, whichever of the writes fail and in whichever way.
func TestRing_LosesNothingInAnySequenceOfFailedWrites(t *testing.T) {
	steps := crossSteps([]writeOutcome{writeSucceeds, writeRefused, writeTorn, syncFails}, []crash{noCrash})
	for length := 1; length <= 7; length++ {
		forEachSequence(steps, length, func(sequence []step) {
			for _, last := range allCrashes {
				play(t, sequence, last)
			}
		})
	}
}

// Crashes between up to four writes lose no acknowledged record, whether the process is killed or power is lost.
func TestRing_LosesNothingInAnySequenceOfCrashes(t *testing.T) {
	steps := crossSteps([]writeOutcome{writeSucceeds, writeTorn, syncFails}, append([]crash{noCrash}, allCrashes...))
	for length := 1; length <= 4; length++ {
		forEachSequence(steps, length, func(sequence []step) { play(t, sequence, powerTorn) })
	}
}

// The checks of faultyDisk detect a ring that reuses the segment with the newest synced records.
func TestFaultyDisk_DetectsReuseOfSyncedSegment(t *testing.T) {
	failure := &recordedFailure{}
	disk := newFaultyDisk(failure)
	disk.write(writeSucceeds)
	for range SegmentCount + 1 {
		clear(disk.ring.synced) // the injected defect: the ring does not keep the segments that it needs
		disk.write(writeTorn)
	}
	disk.restart(powerTorn, "injected defect")
	require.True(t, failure.failed)
}

// recordedFailure is a require.TestingT that records a failure instead of failing the test.
type recordedFailure struct{ failed bool }

func (f *recordedFailure) Errorf(string, ...any) { f.failed = true }

func (f *recordedFailure) FailNow() { f.failed = true }
