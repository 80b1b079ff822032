package singleton

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// world is two instances, the arbiter of whoever leads, the log before the quorum, and a receiver. Whatever can be late, lost or twice is, in
// every order: an instance that is not heard of for a while is the same as one that is frozen, cut off or slow.
type world struct {
	set       Settings
	shorter   bool // another that leads has half the lease in its file
	effective bool // effects are followed, and no change of the leader; else the reverse, as both together are too many
	ticks     Time
	state     *State
	log       []Command // proposed, and not agreed on yet
	arbiter   *Arbiter
	holders   [2]*Holder
	sent      [2]Time
	beats     [2]*Beat
	answers   [2]*Answer
	effects   []Effect // between a holder and the receiver
	fence     *Fence
	latest    uint64 // the highest token of which an effect counted
	changes   int    // of the leader
	harm      string
}

// bug is a fault that is planted.
type bug int

const (
	sound bug = iota
	noFence
	noGrace      // the holder takes its clock and the arbiter's for right
	wholeLease   // a beat without progress is taken to renew the whole lease
	renewsEnding // a lease is renewed though its end stands in the log
	fromAnswer   // the lease is taken to run from when the answer came
	goesOn       // what is given back is still acted on
	shortens     // a shorter lease is agreed on while longer ones that were told run on
	forgetsLease // a leader with a shorter lease does not mind what the one before it told
)

// In a tick the arbiter's clock, which is fast, moves on by 4 and an instance's, which is slow, by 2: each is off by a third.
func (w *world) fast() Time { return 4 * w.ticks }
func (w *world) slow() Time { return 2 * w.ticks }

func start(b bug, effective, wish, shorter bool) *world {
	w := &world{effective: effective, shorter: shorter, set: Settings{Works: []string{"w"}, Lease: 8, Drift: 1.0 / 3}, state: NewState(), fence: &Fence{}}
	if b == noGrace {
		w.set.Drift = 0
	}
	w.state.Apply(Command{Kind: Term, Lease: w.set.Lease})
	w.state.Apply(Command{Kind: Grant, Work: "w", Who: "0", Life: 1})
	if wish {
		w.state.Apply(Command{Kind: Want, Work: "w", Who: "1"})
	}
	w.arbiter = NewArbiter(w.set, w.state, 0)
	for i := range w.holders {
		w.holders[i] = NewHolder(w.set, fmt.Sprint(i), 1, "", 0)
		_, a := w.arbiter.Beat(0, w.holders[i].Beat(), w.state)
		w.holders[i].Answer(0, a)
	}
	return w
}

// Parts of a world, of which a copy has its own where it changes them.
const (
	ofState = 1 << iota
	ofArbiter
	ofFence
	ofHolder // shifted by which
)

func (w *world) clone(parts int) *world {
	c := *w
	if parts&ofState != 0 {
		c.state = &State{Works: maps.Clone(w.state.Works), Lapses: maps.Clone(w.state.Lapses), Lease: w.state.Lease}
	}
	if parts&ofArbiter != 0 {
		a := *w.arbiter
		a.instances, a.leases, a.damped = maps.Clone(a.instances), maps.Clone(a.leases), maps.Clone(a.damped)
		a.lapses, a.clean = maps.Clone(a.lapses), maps.Clone(a.clean)
		c.arbiter = &a
	}
	if parts&ofFence != 0 {
		c.fence = &Fence{Known: maps.Clone(w.fence.Known)}
	}
	for i, h := range w.holders {
		if parts&(ofHolder<<i) == 0 {
			continue
		}
		n := *h
		n.works = map[string]*held{}
		for name, x := range h.works {
			y := *x
			n.works[name] = &y
		}
		c.holders[i] = &n
	}
	c.log, c.effects = slices.Clone(w.log), slices.Clone(w.effects)
	return &c
}

// key names the world by all that what comes next depends on: times by how long ago they were, as far as that matters, tokens by how far
// they are behind, steps by how far they are ahead of what the arbiter knows.
func (w *world) key() uint64 {
	b := make([]byte, 0, 256)
	own, lease := w.state.Works["w"], w.arbiter.leases["w"]
	add := func(n ...int) {
		for _, x := range n {
			b = append(b, byte(x))
		}
	}
	ago := func(at, now Time) int { return int(min(now-at, 8)) } // the longest lease
	behind := func(token uint64) int { return int(own.Token - token) }
	list := func(held []Held) {
		add(len(held))
		for _, x := range held {
			add(behind(x.Token), int(x.Steps-lease.steps))
			b = strconv.AppendBool(b, x.Over)
		}
	}
	b = append(b, own.Owner+"/"...)
	add(len(own.Want), behind(lease.token), ago(lease.from, w.fast()), int(max(0, lease.least-w.fast())), int(w.state.Lease), int(w.set.Lease), int(max(0, w.arbiter.runOut-w.fast())), behind(w.latest), w.changes)
	b = strconv.AppendBool(b, lease.ending)
	for _, c := range w.log {
		b = append(b, '/')
		b = append(append(b, c.Kind...), c.Who...)
		add(behind(c.Token), int(c.Lease))
	}
	for i, h := range w.holders {
		b = append(b, '#')
		if in := w.arbiter.instances[h.name]; in != nil {
			add(ago(in.at, w.fast()))
		}
		b = append(b, 'h')
		if x := h.works["w"]; x != nil {
			add(behind(x.token), ago(x.heard, w.slow()), int(max(0, x.until-w.slow())), int(x.steps-lease.steps))
			b = strconv.AppendBool(strconv.AppendBool(b, x.end), x.over)
		}
		b = append(b, 'b')
		if w.beats[i] != nil {
			add(ago(w.sent[i], w.slow()))
			list(w.beats[i].Held)
		}
		b = append(b, 'a')
		if w.answers[i] != nil {
			add(ago(w.sent[i], w.slow()), len(w.answers[i].Yours), len(w.answers[i].Why))
			for _, y := range w.answers[i].Yours {
				add(behind(y.Token), int(y.Left))
				b = strconv.AppendBool(b, y.End)
			}
		}
	}
	b = append(b, 'e')
	for _, e := range w.effects {
		add(behind(e.Token))
	}
	return xxhash.Sum64(b)
}

// next are all worlds that may come of w, with what happened.
func (w *world) next(b bug) (out []*world, what []string) {
	do := func(name string, parts int, f func(c *world)) {
		c := w.clone(parts)
		f(c)
		if x, y := c.owned(b, 0), c.owned(b, 1); len(x) > 0 && len(y) > 0 {
			c.harm = fmt.Sprintf("two act at once, with tokens %d and %d", x["w"], y["w"])
		}
		out, what = append(out, c), append(what, name)
	}
	do("time passes", 0, func(c *world) { c.ticks++ })
	do("the arbiter ticks", ofArbiter, func(c *world) { c.propose(c.arbiter.Tick(c.fast(), c.state)...) })
	if len(w.log) > 0 {
		do("the log is agreed on", ofState, func(c *world) {
			for _, x := range c.log {
				c.state.Apply(x) // a stale one changes nothing
			}
			c.log = nil
		})
	}
	if most := map[bool]int{false: 1, true: 2}[w.shorter]; w.changes < most && !w.effective {
		do("another leads, what was proposed is lost", 0, func(c *world) {
			if c.shorter {
				c.set.Lease = 4
			}
			if b == forgetsLease {
				c.state = &State{Works: c.state.Works, Lapses: c.state.Lapses}
			}
			c.log, c.arbiter, c.changes = nil, NewArbiter(c.set, c.state, c.fast()), c.changes+1
			if b == shortens {
				c.arbiter.runOut = c.fast()
			}
		})
	}
	for i, h := range w.holders {
		if w.beats[i] == nil { // an answer that has not come by then is lost
			do(h.name+" beats", 0, func(c *world) { x := c.holders[i].Beat(); c.beats[i], c.answers[i], c.sent[i] = &x, nil, c.slow() })
		}
		if w.beats[i] != nil {
			do(h.name+"'s beat comes", ofArbiter, func(c *world) {
				if b == renewsEnding {
					l := c.arbiter.leases["w"]
					l.ending = false
					c.arbiter.leases["w"] = l
				}
				proposed, a := c.arbiter.Beat(c.fast(), *c.beats[i], c.state)
				c.propose(proposed...)
				for k := range a.Yours {
					if b == wholeLease {
						a.Yours[k].Left = c.set.Lease
					}
				}
				c.beats[i], c.answers[i] = nil, &a
			})
		}
		if w.answers[i] != nil {
			do(h.name+" is answered", ofHolder<<i, func(c *world) {
				sent := c.sent[i]
				if b == fromAnswer {
					sent = c.slow()
				}
				c.holders[i].Answer(sent, *c.answers[i])
				c.answers[i] = nil
			})
		}
		if x := h.works["w"]; x != nil && len(w.effects) < 2 && x.steps < w.arbiter.leases["w"].steps+2 {
			do(h.name+" does a step", ofHolder<<i, func(c *world) {
				if c.holders[i].Begin(c.slow(), "w") {
					if e, ok := c.holders[i].Effect(c.slow(), "w"); ok {
						if c.effective {
							c.effects = append(c.effects, e)
						}
					}
					c.holders[i].End("w", true)
				}
			})
		}
	}
	for k := range w.effects {
		do(fmt.Sprint("effect ", w.effects[k], " comes"), ofFence, func(c *world) {
			e := c.effects[k]
			c.effects = slices.Delete(c.effects, k, k+1)
			if c.fence.Admit(e) != nil && b != noFence {
				return
			}
			if e.Token < c.latest {
				c.harm = fmt.Sprintf("an effect of token %d counts after one of %d", e.Token, c.latest)
			}
			c.latest = max(c.latest, e.Token)
		})
	}
	return out, what
}

// owned is what an instance takes itself to own.
func (w *world) owned(b bug, i int) map[string]uint64 {
	if x := w.holders[i].works["w"]; b == goesOn && x != nil && w.slow() < x.until {
		return map[string]uint64{"w": x.token}
	}
	return w.holders[i].Owned(w.slow())
}

func (w *world) propose(c ...Command) {
	for _, x := range c {
		if len(w.log) < 3 && !slices.Contains(w.log, x) {
			w.log = append(w.log, x)
		}
	}
}

// explore visits every world within depth steps, the shortest ways first, and returns how many there are and the way to the first harm.
func explore(b bug, effective, wish, shorter bool, depth int) (states int, way []string) {
	type node struct {
		w    *world
		from int
		what string
		key  uint64
	}
	all, seen := []node{{w: start(b, effective, wish, shorter), from: -1}}, map[uint64]bool{}
	for done, level := 0, 0; level < depth && done < len(all); level++ {
		found := make([][]node, len(all)-done) // by node of this level, so that the order does not hang on who is faster
		var running sync.WaitGroup
		const part = 256
		room := make(chan struct{}, runtime.GOMAXPROCS(0))
		for from := 0; from < len(found); from += part {
			room <- struct{}{}
			running.Go(func() {
				for i := from; i < min(from+part, len(found)); i++ {
					next, what := all[done+i].w.next(b)
					for k, n := range next {
						found[i] = append(found[i], node{n, done + i, what[k], n.key()})
					}
				}
				<-room
			})
		}
		running.Wait()
		for i, next := range found {
			all[done+i].w = nil
			for _, n := range next {
				if seen[n.key] && n.w.harm == "" { // harm is no part of the key
					continue
				}
				seen[n.key] = true
				all = append(all, n)
				if n.w.harm != "" {
					way = []string{n.w.harm}
					for at := len(all) - 1; all[at].from >= 0; at = all[at].from {
						way = append(way, all[at].what)
					}
					slices.Reverse(way)
					return len(all), way
				}
			}
		}
		done += len(found)
	}
	return len(all), nil
}

// No order of losses, delays, freezes and changes of the leader lets two act at once, or an older effect count after a newer one;
// and each planted fault is found.
func TestEveryOrder(t *testing.T) {
	for _, c := range []struct {
		name      string
		bug       bug
		effective bool
		wish      bool
		shorter   bool
		depth     int
	}{{"no fault, changes of the leader", sound, false, false, false, 17}, {"no fault, effects", sound, true, false, false, 17},
		{"no fault, another is wanted", sound, false, true, false, 17}, {"no fault, a shorter lease", sound, false, false, true, 18}, {"no fence", noFence, true, false, false, 17},
		{"no grace", noGrace, false, false, false, 16},
		{"whole lease", wholeLease, false, false, false, 16}, {"renews what ends", renewsEnding, false, false, false, 17},
		{"from the answer", fromAnswer, false, false, false, 16}, {"gives back and goes on", goesOn, false, true, false, 16},
		{"shortens at once", shortens, false, false, true, 18}, {"forgets a longer lease", forgetsLease, false, false, true, 18}} {
		states, way := explore(c.bug, c.effective, c.wish, c.shorter, c.depth)
		t.Logf("%s: %d states to depth %d; %s", c.name, states, c.depth, strings.Join(way, "; "))
		if (c.bug == sound) != (way == nil) {
			t.Errorf("%s: %v", c.name, way)
		}
	}
}
