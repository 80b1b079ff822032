// Package progress prints the progress of the simulator's runs, and their results in full and as tables.
package progress

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

// Bar shows how many runs are done, with an estimate of the time left. On a terminal it is a progress bar, elsewhere it
// prints a line per tenth of the runs.
type Bar struct {
	out       io.Writer
	bar       *progressbar.ProgressBar // nil if out is not a terminal
	total     int
	done      int
	startedAt time.Time
	lastTenth int // last tenth of the runs for which a line was written
}

// NewBar returns a Bar on out for that many runs, which start now.
func NewBar(out *os.File, total int) *Bar {
	b := &Bar{out: out, total: total, startedAt: time.Now()}
	if term.IsTerminal(int(out.Fd())) {
		b.bar = progressbar.NewOptions(total, progressbar.OptionSetWriter(out), progressbar.OptionSetDescription("runs"),
			progressbar.OptionShowCount(), progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
	}
	return b
}

// Step counts one completed run and updates the display.
func (b *Bar) Step() {
	b.done++
	if b.bar != nil {
		_ = b.bar.Add(1) // the runs continue if the bar cannot be drawn
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
