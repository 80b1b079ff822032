package faulttest

import (
	"bytes"
	"fmt"
	"sync"
)

// outputBuffer keeps the latest output of a process.
type outputBuffer struct {
	mu        sync.Mutex
	text      bytes.Buffer
	discarded int // number of bytes that were before text
}

// maxOutputBytes is how much output is kept. Beyond it the older half is discarded.
const maxOutputBytes = 4 << 20

// Write implements io.Writer. It never fails and discards old output instead: output must not block the process.
func (o *outputBuffer) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.text.Len()+len(b) > maxOutputBytes {
		o.discarded += o.text.Len() / 2
		o.text.Next(o.text.Len() / 2)
	}
	o.text.Write(b[max(0, len(b)-maxOutputBytes/2):])
	return len(b), nil
}

// String returns the output that is kept, and how much was discarded before it.
func (o *outputBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.discarded > 0 {
		return fmt.Sprintf("(%d bytes before)\n%s", o.discarded, o.text.String())
	}
	return o.text.String()
}
