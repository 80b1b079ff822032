// Package concurrency moves a window: the most attempts that one balancer has out at once, the rest waiting or being refused before
// they cost anybody anything. All of it is pure arithmetic on the window's size.
//
// A window is no whole number and may be less than one. Where hundreds of balancers share servers that work on a few requests at
// a time, one attempt of each is more than the servers bear together: in such a window attempts go one by one, with pauses in which
// none is out, so that on the mean as many are out as its size says.
package concurrency

// MinLimit is the narrowest window: an attempt for a tenth of the time still finds out that the crowding is over.
const MinLimit = 0.1

// ToleratedCongestion is the share of answers speaking of a queue that leaves a window of usual size as it is.
const ToleratedCongestion = 0.25

const (
	narrowBy = 0.4 // a narrow window loses this part of itself at most: a step of one would close it on a single answer
	widenBy  = 0.5 // and gains this part at most, so that one doubtful answer does not undo several; as Borne where not calm
	grows    = 5.0 // narrow ones grow faster, so that balancers with the same servers come to share them evenly
	swift    = 0.5 // the least step while hardly an answer speaks of a queue: after a start, or when others' clients come
)

// Admits says whether one more attempt fits in. sinceLast is how long ago an attempt ended last, and usual how long one takes.
func Admits(window float64, out int, sinceLast, usual float64) bool {
	if window >= 1 {
		return float64(out) < window
	}
	return out == 0 && sinceLast >= usual*(1/window-1)
}

// Decrease is the window after an answer that speaks of a queue: one step for each, so that it does not fall on old news.
func Decrease(window float64) float64 {
	return max(MinLimit, window-(1-ToleratedCongestion), window*(1-narrowBy))
}

// Increase is a window that is in use after an answer without a queue; calm is whether hardly an answer has spoken of one of late.
func Increase(window float64, calm bool) float64 {
	step := ToleratedCongestion * min(0.5+grows/window, window)
	if calm {
		step = max(step, min(swift, widenBy*window))
	}
	return window + step
}

// A window is kept near what is in use, so that it bites soon once there is a queue.
const (
	overUse   = 1.5  // times what is out
	mostSpare = 10.0 // and so much more, for what comes at once
	perServer = 4.0  // but of each server no more than this for all balancers of the group: what they start with must not flood it
)

// LimitToUsage is the window when out attempts are out, of one of group balancers with this many servers.
func LimitToUsage(window float64, out, servers, group int) float64 {
	spare := min(mostSpare, perServer*float64(servers)/float64(max(1, group)))
	return min(window, overUse*float64(out)+max(1, spare))
}
