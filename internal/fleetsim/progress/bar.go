// Package progress shows the simulator's work on a terminal: progress, tables and results of runs.
package progress

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

// Bar shows how many runs are done: on a terminal as a bar with an estimate of the time left, elsewhere as plain lines.
type Bar struct {
	out       io.Writer
	bar       *progressbar.ProgressBar // nil: plain lines
	total     int
	done      int
	startedAt time.Time
	lastTenth int // that a line was written for
}

// NewBar starts the progress of total runs on out.
func NewBar(out *os.File, total int) *Bar {
	b := &Bar{out: out, total: total, startedAt: time.Now()}
	if term.IsTerminal(int(out.Fd())) {
		b.bar = progressbar.NewOptions(total, progressbar.OptionSetWriter(out), progressbar.OptionSetDescription("runs"),
			progressbar.OptionShowCount(), progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
	}
	return b
}

// Step counts a run that is done.
func (b *Bar) Step() {
	b.done++
	if b.bar != nil {
		_ = b.bar.Add(1) // a bar that cannot be drawn is no reason to stop
		return
	}
	tenth := 10 * b.done / max(1, b.total)
	if tenth <= b.lastTenth {
		return
	}
	b.lastTenth = tenth
	elapsed := time.Since(b.startedAt)
	left := time.Duration(float64(elapsed) * float64(b.total-b.done) / float64(b.done))
	fmt.Fprintf(b.out, "%d of %d runs, %s elapsed, about %s left\n", b.done, b.total, elapsed.Round(time.Second),
		left.Round(time.Second))
}
