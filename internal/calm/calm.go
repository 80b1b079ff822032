// Package calm estimates what answers take where nothing queues, from the times of all answers. It is pure: the caller's clock is
// the only one that it knows.
package calm

import "slices"

// What stands for "what answers take" is the time that share of them keep within. A running quantile follows it, and the least
// that this was of late is the time without a queue: queues come and go, and while they last they only add.
const (
	share   = 0.8
	step    = 0.03      // of its value, by which the running quantile follows one answer
	warmup  = 10        // answers before anything is told
	settled = 20        // answers whose own quantile it begins with: step by step it would take long to leave the first of them
	period  = 1_000_000 // microseconds between two looks at the running quantile
	forgets = 0.01      // a second, of the least: what takes longer for good comes to be known as calm
)

// Follow moves quantile, that under which a share of samples lie, by a step (a part of its value) towards where sample says
// that it is.
func Follow(quantile, sample, share, step float64) float64 {
	if sample < quantile {
		return quantile * (1 - (1-share)*step)
	}
	return quantile * (1 + share*step)
}

// Time is the estimate for one kind of answers. The zero Time knows nothing.
type Time struct {
	seen    int
	first   [settled]float64
	running float64
	least   float64
	looked  int64
}

// Observe takes the time that an answer took, in any unit, at now, in microseconds.
func (t *Time) Observe(now int64, took float64) {
	if !(took > 0) {
		return
	}
	if t.seen < settled {
		t.first[t.seen], t.running = took, took
		if t.seen++; t.seen == warmup || t.seen == settled {
			sorted := t.first
			slices.Sort(sorted[:t.seen])
			t.running = sorted[int(share*float64(t.seen))]
			t.least, t.looked = t.running, now
		}
		return
	}
	t.running = Follow(t.running, took, share, step)
	if passed := now - t.looked; passed >= period {
		t.least, t.looked = min(t.least*(1+forgets*float64(passed)/1e6), t.running), now
	}
}

// Known is an estimate that another has come to; nothing is known if it is not over 0.
func Known(least float64) (t Time) {
	if least > 0 {
		t = Time{seen: settled, running: least, least: least}
	}
	return t
}

// Least is what most answers take where nothing queues, in the unit of Observe, once enough have come.
func (t *Time) Least() (took float64, known bool) { return t.least, t.seen >= warmup }
