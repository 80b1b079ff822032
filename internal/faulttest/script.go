package faulttest

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"pumiceline/internal/duration"
	"pumiceline/internal/tomlfile"
)

// Script is what is to happen on a stage, as a file says it.
type Script struct {
	Title        string        `toml:"title"`
	Length       duration.Span `toml:"length"`       // clients ask for this long
	Proxies      int           `toml:"proxies"`      // processes, each a proxy of its own
	Destinations int           `toml:"destinations"` // stand-ins
	Rate         float64       `toml:"rate"`         // requests a second, of all clients
	Draw         int           `toml:"draw"`         // faults that are drawn from the seed besides those written
	Faults       []Step        `toml:"fault"`
}

// Step is one fault, with its end.
type Step struct {
	At    duration.Span `toml:"at"`
	For   duration.Span `toml:"for"`
	Do    string        `toml:"do"`    // see Deeds
	Who   string        `toml:"who"`   // proxy, roster (the way between a proxy and it) or destination (the way of all to one)
	N     int           `toml:"n"`     // its number, from 0
	Delay duration.Span `toml:"delay"` // of delay
}

// Deeds are what a step may do, and to whom.
var Deeds = map[string][]string{
	"freeze": {"proxy"}, "kill": {"proxy"}, // it starts anew at the end
	"cut": {"roster", "destination"}, "cut up": {"roster", "destination"}, "cut down": {"roster", "destination"},
	"delay": {"roster", "destination"}, "break": {"roster", "destination"}, // at the end they stay broken: the parties come again
}

// ReadScript reads a script and checks it. An error names the file, and the line and key where it can.
func ReadScript(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("stage: %w", err)
	}
	s := &Script{Length: 20e6, Proxies: 2, Destinations: 4, Rate: 60}
	if err := tomlfile.Decode(path, text, s); err != nil {
		return nil, err
	}
	keys := tomlfile.IndexKeys(text)
	for _, key := range keys.BareNumbers {
		if last := key[strings.LastIndexByte(key, '.')+1:]; slices.Contains([]string{"length", "at", "for", "delay"}, last) {
			return nil, &tomlfile.Error{File: path, Line: keys.Line(key), Key: key, Reason: `is a time and has no unit: write it as "250ms"`}
		}
	}
	if key, why := s.check(); why != "" {
		return nil, &tomlfile.Error{File: path, Line: keys.Line(key), Key: key, Reason: why}
	}
	return s, nil
}

// check returns the first key that cannot be played, and why.
func (s *Script) check() (key, why string) {
	for _, c := range []struct {
		key         string
		n, from, to float64
	}{{"length", s.Length.Seconds(), 1, 3600}, {"proxies", float64(s.Proxies), 1, 64}, {"destinations", float64(s.Destinations), 1, 200},
		{"rate", s.Rate, 0.1, 5000}, {"draw", float64(s.Draw), 0, 1000}} {
		if !(c.n >= c.from && c.n <= c.to) {
			return c.key, fmt.Sprintf("%v is not within %v and %v", c.n, c.from, c.to)
		}
	}
	for i, f := range s.Faults {
		at := fmt.Sprintf("fault.%d.", i)
		switch {
		case Deeds[f.Do] == nil:
			return at + "do", fmt.Sprintf("%q is no fault", f.Do)
		case !slices.Contains(Deeds[f.Do], f.Who):
			return at + "who", fmt.Sprintf("%q is done to none of %q", f.Do, f.Who)
		case f.N < 0 || f.N >= s.count(f.Who):
			return at + "n", fmt.Sprintf("there are %d, from 0", s.count(f.Who))
		case f.At+f.For > s.Length:
			return at + "for", "it ends after the play"
		}
	}
	return "", ""
}

func (s *Script) count(who string) int {
	if who == "destination" {
		return s.Destinations
	}
	return s.Proxies
}

// Steps are the faults that are written and those that the seed draws, in their order. The same seed draws the same.
func (s *Script) Steps(seed uint64) []Step {
	g := rand.New(rand.NewPCG(seed, 1))
	deeds := []string{"freeze", "kill", "cut", "cut up", "cut down", "delay", "break"}
	steps := slices.Clone(s.Faults)
	for range s.Draw {
		do := deeds[g.IntN(len(deeds))]
		who := Deeds[do][g.IntN(len(Deeds[do]))]
		part := func(from, to float64) duration.Span {
			return duration.Span(float64(s.Length) * (from + (to-from)*g.Float64()))
		}
		steps = append(steps, Step{At: part(0.05, 0.7), For: part(0.02, 0.2), Do: do, Who: who, N: g.IntN(s.count(who)), Delay: duration.Span(20_000 + g.IntN(280_000))})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// String says a step in words.
func (s *Step) String() string { return fmt.Sprintf("%s %s %d for %v", s.Do, s.Who, s.N, s.For) }

// Play has each step done at its time, and undone at its end. Steps do not wait for one another: of two on one way, the end of either
// frees it. It returns when all have ended, or over
// does; what was done is then undone.
func Play(steps []Step, begun time.Time, over <-chan struct{}, do func(Step) (undo func())) {
	ended := make(chan struct{}, len(steps))
	wait := func(at duration.Span) bool {
		timer := time.NewTimer(time.Until(begun.Add(time.Duration(at) * time.Microsecond)))
		defer timer.Stop()
		select {
		case <-timer.C:
			return true
		case <-over:
			return false
		}
	}
	for _, s := range steps {
		go func() {
			defer func() { ended <- struct{}{} }()
			if wait(s.At) {
				undo := do(s)
				wait(s.At + s.For)
				undo()
			}
		}()
	}
	for range steps {
		<-ended
	}
}
