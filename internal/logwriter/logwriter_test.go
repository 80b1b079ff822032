package logwriter

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// slowOutput takes writes only while it is open.
type slowOutput struct {
	open  chan struct{} // closed: writes are taken
	mutex sync.Mutex
	text  strings.Builder
	err   error
}

func (o *slowOutput) Write(record []byte) (int, error) {
	<-o.open
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.err != nil {
		return 0, o.err
	}
	return o.text.Write(record)
}

// A reader that stops loses what does not fit into the queue. When it goes on, it gets the rest and the number of lost
// records.
func TestWriter_DropsAndCounts(t *testing.T) {
	output := &slowOutput{open: make(chan struct{})}
	w := New(output)
	record := strings.Repeat("x", 1023) + "\n"
	const records = 2 * maxQueuedBytes / 1024
	for range records {
		_, err := w.Write([]byte(record))
		require.NoError(t, err)
	}
	dropped := w.Dropped()
	assert.Equal(t, int64(records/2), dropped)
	w.Flush(10 * time.Millisecond) // returns although the reader has stopped
	close(output.open)
	w.Flush(time.Minute)
	text := output.text.String()
	assert.Equal(t, records/2, strings.Count(text, record))
	assert.Contains(t, text, fmt.Sprintf("dropped_records=%d", dropped))
	assert.Equal(t, 1, strings.Count(text, "dropped_records="))
}

// An output that fails loses its records, which are counted.
func TestWriter_CountsFailedWrites(t *testing.T) {
	output := &slowOutput{open: make(chan struct{}), err: errors.New("no reader")}
	close(output.open)
	w := New(output)
	for range 3 {
		_, err := w.Write([]byte("record\n"))
		require.NoError(t, err)
	}
	w.Flush(time.Minute)
	assert.Equal(t, int64(3), w.Dropped())
}
