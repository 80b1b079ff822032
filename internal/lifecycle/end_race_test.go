package lifecycle

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// overlappingEnds is how many times a process ends at the moment at which its successor starts.
const overlappingEnds = 100

// A process that ends while its successor starts leaves the successor's record, whichever of the two writes first. Guards
// against an end that was written after a check that the successor's start had made untrue.
func TestEndRecorder_EndsWhileSuccessorStarts(t *testing.T) {
	for range overlappingEnds {
		dir := t.TempDir()
		before := NewProcess(nil)
		recorder := NewEndRecorder(before, dir, "program")
		<-recorder.begun
		successor := NewProcess(nil)
		successor.startedAt = before.startedAt.Add(time.Millisecond)
		var both sync.WaitGroup
		both.Go(func() { recorder.Record(0, "told to stop") })
		both.Go(func() { <-NewEndRecorder(successor, dir, "program").begun })
		both.Wait()
		record, err := readEnd(recorder.path)
		require.NoError(t, err)
		assert.WithinDuration(t, successor.startedAt, record.StartedAt, 0)
		assert.Empty(t, record.Reason, "the successor runs")
	}
}
