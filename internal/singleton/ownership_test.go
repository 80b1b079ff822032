package singleton

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// play is a quorum that agrees at once, with instances whose beats always come: what is left is what the arbiter decides.
type play struct {
	set   Settings
	now   Time
	state *State
	arb   *Arbiter
	beats map[string]Beat
	still map[string]bool // instances whose work stands still
	steps uint64
	did   []string
}

func newPlay(works ...string) *play {
	p := &play{set: Settings{Works: works, Lease: 1e6, Drift: 0.2, Damp: 1e6}, state: NewState(), beats: map[string]Beat{}, still: map[string]bool{}}
	p.state.Apply(Command{Kind: Term, Lease: p.set.Lease})
	p.arb = NewArbiter(p.set, p.state, 0)
	return p
}

func (p *play) apply(commands []Command) {
	for _, c := range commands {
		if p.state.Apply(c) == nil {
			p.did = append(p.did, strings.TrimSpace(fmt.Sprint(c.Kind, " ", c.Work, " ", c.Who)))
		}
	}
}

// run lets time pass, with a beat of each instance every tenth of a second.
func (p *play) run(span Time) {
	for end := p.now + span; p.now < end; p.now += 100_000 {
		p.steps++
		for _, name := range slices.Sorted(func(yield func(string) bool) {
			for name := range p.beats {
				if !yield(name) {
					return
				}
			}
		}) {
			b := p.beats[name]
			b.Name, b.Held = name, nil
			for work, w := range p.state.Works {
				if w.Owner == name && w.Life == b.Life {
					h := Held{Work: work, Token: w.Token, Steps: p.steps}
					if p.still[name] {
						h.Steps = 0
					}
					b.Held = append(b.Held, h)
				}
			}
			commands, answer := p.arb.Beat(p.now, b, p.state)
			p.apply(commands)
			for _, y := range answer.Yours { // steps are short: what is to end has ended by the next beat
				if y.End {
					b.Held = []Held{{Work: y.Work, Token: y.Token, Over: true}}
					commands, _ := p.arb.Beat(p.now, b, p.state)
					p.apply(commands)
				}
			}
		}
		p.apply(p.arb.Tick(p.now, p.state))
	}
}

func (p *play) owners() string {
	var all []string
	for _, work := range p.set.Works {
		all = append(all, work+"="+p.state.Works[work].Owner)
	}
	return strings.Join(all, " ")
}

// Work is spread over instances, zones and builds; who can't do a work does not get it; who leaves hands over; who lets a lease run out gets
// nothing for a while that doubles; a wish is done, and dropped where who is wanted is not there.
func TestArbiterDecides(t *testing.T) {
	p := newPlay("w1", "w2", "w3", "w4")
	p.beats["a"], p.beats["b"] = Beat{Life: 1, Zone: "x", Build: 1}, Beat{Life: 1, Zone: "y", Build: 2}
	p.run(300_000)
	if n := strings.Count(p.owners(), "=a"); n != 2 || strings.Count(p.owners(), "=b") != 2 {
		t.Errorf("not spread: %s", p.owners())
	}

	p.beats["c"] = Beat{Life: 1, Does: []string{"w4"}}
	p.beats["a"] = Beat{Life: 1, Zone: "x", Leaving: true}
	p.run(500_000)
	if got := p.owners(); strings.Contains(got, "=a") || strings.Contains(got, "=c") != strings.Contains(got, "w4=c") || strings.Contains(got, "= ") {
		t.Errorf("a left: %s", got)
	}
	delete(p.beats, "a")
	p.run(200_000)

	p = newPlay("w")
	p.beats["a"], p.beats["b"] = Beat{Life: 1}, Beat{Life: 1}
	p.still["a"], p.still["b"] = true, true
	p.did = nil
	p.run(20e6)
	grants, last := 0, 0
	for _, did := range p.did {
		if strings.HasPrefix(did, "grant") {
			grants++
		}
	}
	for _, n := range p.state.Lapses {
		last += n
	}
	// Without damping there would be a grant a second; with it at 1, 2, 4, 8 and 16 s for each.
	if grants < 4 || grants > 10 || last < grants-1 {
		t.Errorf("%d grants to owners whose work stands still, %d lapses: %v", grants, last, p.did)
	}
	p.still = map[string]bool{}
	p.run(40e6)
	if p.owners() == "w=" {
		t.Error("nobody gets the work after all damping is over")
	}
	p.run(800e6)
	if len(p.state.Lapses) != 0 {
		t.Errorf("lapses are never forgotten: %v", p.state.Lapses)
	}

	p.apply([]Command{{Kind: Want, Work: "w", Who: "b"}})
	p.run(300_000)
	if p.owners() != "w=b" || p.state.Works["w"].Want != "" {
		t.Errorf("b is wanted: %+v", p.state.Works["w"])
	}
	p.apply([]Command{{Kind: Want, Work: "w", Who: "nobody"}})
	p.run(300_000)
	if p.owners() != "w=b" {
		t.Errorf("work was taken away for somebody who is not there: %s", p.owners())
	}
	delete(p.beats, "b") // it dies: the wish must not leave the work without an owner
	p.run(2e6)
	if p.owners() != "w=a" {
		t.Errorf("b is dead: %+v", p.state.Works["w"])
	}

	// A process that starts under a name that is there gets nothing; one whose name's process is dead does, once its lease is over.
	if _, answer := p.arb.Beat(p.now, Beat{Name: "a", Life: 9}, p.state); !strings.Contains(answer.Why, "another process of the name a") {
		t.Errorf("%+v", answer)
	}
	token := p.state.Works["w"].Token
	delete(p.beats, "a")
	p.run(1.2e6)
	p.beats["a"] = Beat{Life: 9}
	p.run(4e6)
	if w := p.state.Works["w"]; w.Owner != "a" || w.Life != 9 || w.Token <= token {
		t.Errorf("a has started anew: %+v", w)
	}
}

// Tokens only grow, a command that comes twice or late changes nothing, and the state is the same after a snapshot.
func TestStateAndFence(t *testing.T) {
	s := NewState()
	for i, c := range []struct {
		c    Command
		want error
	}{{Command{Kind: Grant, Work: "w", Who: "a", Life: 1}, nil}, {Command{Kind: Grant, Work: "w", Who: "b", Life: 1}, ErrStale},
		{Command{Kind: Expire, Work: "w", Token: 1}, nil}, {Command{Kind: Expire, Work: "w", Token: 1}, ErrStale}, {Command{Kind: Free, Work: "w", Token: 1}, ErrStale},
		{Command{Kind: Grant, Work: "w", Who: "b", Life: 1, Token: 1}, nil}, {Command{Kind: Free, Work: "w", Token: 1}, ErrStale},
		{Command{Kind: Free, Work: "w", Token: 2}, nil}} {
		if err := s.Apply(c.c); !errors.Is(err, c.want) {
			t.Errorf("%d: %v", i, err)
		}
	}
	if err := s.Apply(Command{Kind: "of a newer build", Work: "w"}); err == nil || s.Works["w"] != (Work{Token: 2}) {
		t.Errorf("%v, %+v", err, s.Works["w"])
	}
	for i := range 2 * MostWorks {
		s.Apply(Command{Kind: Want, Work: fmt.Sprint(i), Who: "a"})
	}
	if len(s.Works) != MostWorks {
		t.Errorf("%d works are kept", len(s.Works))
	}
	f := Fence{}
	for i, c := range []struct {
		e    Effect
		good bool
	}{{Effect{"w", 1, 1}, true}, {Effect{"w", 1, 3}, true}, {Effect{"w", 1, 2}, false}, {Effect{"w", 1, 3}, false}, {Effect{"w", 2, 1}, true},
		{Effect{"w", 1, 9}, false}, {Effect{"v", 1, 1}, true}} {
		var older *Older
		if err := f.Admit(c.e); (err == nil) != c.good || !c.good && (!errors.As(err, &older) || older.Known.Work != "w") {
			t.Errorf("%d: %v", i, err)
		}
	}
}
