package singleton

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// mix orders names differently for each work.
func mix(work, name string) uint64 { return xxhash.Sum64String(work + "\x00" + name) }

// Holder is an instance's own side: what it owns, and until when it may act on it.
type Holder struct {
	set     Settings
	name    string
	life    uint64
	zone    string
	build   uint64
	leaving bool
	works   map[string]*held
}

type held struct {
	token  uint64
	heard  Time // when the beat was sent whose answer told of it last
	until  Time // by the instance's clock
	steps  uint64
	serial uint64
	end    bool // it is to be given back
	busy   bool // a step is under way
	over   bool // given back, or lapsed: nothing more is done with this token
}

// NewHolder returns the side of an instance that owns nothing. A life is never used by two processes of one name.
func NewHolder(set Settings, name string, life uint64, zone string, build uint64) *Holder {
	return &Holder{set: set, name: name, life: life, zone: zone, build: build, works: map[string]*held{}}
}

// Leave has the instance give back all that it owns once another is there for it.
func (h *Holder) Leave() { h.leaving = true }

// Beat is what to say to the arbiter now.
func (h *Holder) Beat() Beat {
	b := Beat{Name: h.name, Life: h.life, Zone: h.zone, Build: h.build, Leaving: h.leaving}
	for _, name := range slices.Sorted(maps.Keys(h.works)) {
		w := h.works[name]
		b.Held = append(b.Held, Held{Work: name, Token: w.token, Steps: w.steps, Over: w.over})
	}
	return b
}

// Answer takes in what the arbiter said to a beat that was sent at sent. An answer that comes late says nothing of the time since.
func (h *Holder) Answer(sent Time, a Answer) {
	for name, w := range h.works {
		if sent <= w.heard || slices.ContainsFunc(a.Yours, func(y Yours) bool { return y.Work == name && y.Token == w.token }) {
			continue // an older answer may not know of it yet
		}
		if w.busy {
			w.over = true // forgotten once its step has ended
		} else {
			delete(h.works, name)
		}
	}
	for _, y := range a.Yours {
		w := h.works[y.Work]
		if w == nil || y.Token > w.token && !w.busy {
			w = &held{token: y.Token, heard: sent}
			h.works[y.Work] = w
		}
		if w.token != y.Token || w.over {
			continue
		}
		w.heard, w.until = max(w.heard, sent), max(w.until, sent+h.set.Hold(y.Left))
		if w.end = w.end || y.End; w.end && !w.busy {
			w.over = true
		}
	}
}

// Effect names an effect: receivers take it only while no newer token is known to them.
type Effect struct {
	Work   string `json:"work"`
	Token  uint64 `json:"token"`
	Serial uint64 `json:"serial"` // from 1, in the token's order
}

// Begin begins a step of a work at now. It is false where the work is not owned, its lease is over, or it is to be given back.
func (h *Holder) Begin(now Time, work string) bool {
	w := h.works[work]
	if w == nil || w.over || w.busy || w.end || now >= w.until {
		return false
	}
	w.busy = true
	return true
}

// Effect is asked for before each effect of a step, and names it. It is false once the lease is over: the step has to stop there.
func (h *Holder) Effect(now Time, work string) (Effect, bool) {
	w := h.works[work]
	if w == nil || !w.busy || w.over || now >= w.until {
		return Effect{}, false
	}
	w.serial++
	return Effect{work, w.token, w.serial}, true
}

// End ends a step. Only one that was done counts as progress.
func (h *Holder) End(work string, done bool) {
	w := h.works[work]
	if w == nil {
		return
	}
	w.busy = false
	if done {
		w.steps++
	}
	if w.end {
		w.over = true
	}
}

// Owned are the works that may be acted on at now, with their tokens.
func (h *Holder) Owned(now Time) map[string]uint64 {
	owned := map[string]uint64{}
	for name, w := range h.works {
		if !w.over && now < w.until {
			owned[name] = w.token
		}
	}
	return owned
}

// Empty says whether there is nothing left that the arbiter may take for owned here.
func (h *Holder) Empty() bool { return len(h.works) == 0 }

// Fence is a receiver's memory of the highest token and serial that it has taken of each work. It belongs where the effects are, and has to last as long
// as they do. Its JSON form is its memory.
type Fence struct {
	Known map[string]Effect `json:"known"`
}

// Older is the error of an effect that comes too late.
type Older struct {
	Got   Effect
	Known Effect
}

func (e *Older) Error() string {
	return fmt.Sprintf("ownership: %s: token %d, serial %d comes after token %d, serial %d", e.Got.Work, e.Got.Token, e.Got.Serial, e.Known.Token,
		e.Known.Serial)
}

// Admit says whether an effect may count, and remembers it if so. Errors are *Older, or that there is no room for another work.
func (f *Fence) Admit(e Effect) error {
	known, there := f.Known[e.Work]
	switch {
	case !there && len(f.Known) >= MostWorks:
		return fmt.Errorf("ownership: %s: effects of %d other works are remembered already", e.Work, MostWorks)
	case e.Token < known.Token || e.Token == known.Token && e.Serial <= known.Serial:
		return &Older{Got: e, Known: known}
	}
	if f.Known == nil {
		f.Known = map[string]Effect{}
	}
	f.Known[e.Work] = e
	return nil
}
