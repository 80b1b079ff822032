// Package latencybaseline estimates what answers take where nothing queues, from the times of all answers. It is pure: the caller's clock is
// the only one that it knows.
package latencybaseline

// What stands for "what answers take" is the time that share of them keep within. A running quantile follows it, and the least
// that this was of late is the time without a queue: queues come and go, and while they last they only add.
const (
	share   = 0.8
	step    = 0.03      // of its value, by which the running quantile follows one answer
	warmup  = 20        // answers before anything is told; the first few move the quantile further
	period  = 1_000_000 // microseconds between two looks at the running quantile
	forgets = 0.01      // a second, of the least: what takes longer for good comes to be known as calm
)

// StepQuantile moves quantile, that under which a share of samples lie, by a step (a part of its value) towards where sample says
// that it is.
func StepQuantile(quantile, sample, share, step float64) float64 {
	if sample < quantile {
		return quantile * (1 - (1-share)*step)
	}
	return quantile * (1 + share*step)
}

// Estimator is the estimate for one kind of answers. The zero Time knows nothing.
type Estimator struct {
	seen    int
	running float64
	least   float64
	looked  int64
}

// Observe takes the time that an answer took, in any unit, at now, in microseconds.
func (t *Estimator) Observe(now int64, took float64) {
	if !(took > 0) {
		return
	}
	if t.seen++; t.seen == 1 {
		t.running = took
	}
	t.running = StepQuantile(t.running, took, share, step*float64(max(1, warmup/2/t.seen)))
	switch passed := now - t.looked; {
	case t.seen == warmup:
		t.least, t.looked = t.running, now
	case t.seen > warmup && passed >= period:
		t.least, t.looked = min(t.least*(1+forgets*float64(passed)/1e6), t.running), now
	}
}

// Restore is an estimate that another has come to; nothing is known if it is not over 0.
func Restore(least float64) (t Estimator) {
	if least > 0 {
		t = Estimator{seen: warmup, running: least, least: least}
	}
	return t
}

// Baseline is what most answers take where nothing queues, in the unit of Observe, once enough have come.
func (t *Estimator) Baseline() (took float64, known bool) { return t.least, t.seen >= warmup }
