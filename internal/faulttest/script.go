package faulttest

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"pumiceline/internal/duration"
	"pumiceline/internal/tomlfile"
)

// Script says which processes run and which faults are injected. It is read from a TOML file.
type Script struct {
	Title        string           `toml:"title"`
	Length       duration.Span    `toml:"length"`       // for how long clients send requests
	Proxies      int              `toml:"proxies"`      // processes
	Backends     int              `toml:"destinations"` // fakes
	Rate         float64          `toml:"rate"`         // requests a second, of all clients
	RandomFaults int              `toml:"draw"`         // number of faults that are drawn from a seed, besides Faults
	Faults       []ScheduledFault `toml:"fault"`
}

// ScheduledFault is a fault of a script.
type ScheduledFault struct {
	At     duration.Span `toml:"at"`  // since the start
	For    duration.Span `toml:"for"` // duration
	Action Action        `toml:"do"`
	Target Target        `toml:"who"`
	Index  int           `toml:"n"`     // of the target among its kind, from 0
	Delay  duration.Span `toml:"delay"` // of each chunk, for ActionDelay
}

// String describes the fault, for the history.
func (f *ScheduledFault) String() string {
	return fmt.Sprintf("%s %s %d for %v", f.Action, f.Target, f.Index, f.For)
}

// Action is the action of a scheduled fault. The values are those of script files.
type Action string

// The actions. All but ActionReset are undone at the fault's end.
const (
	ActionFreeze        Action = "freeze" // a process
	ActionKill          Action = "kill"   // a process; it is started again at the end
	ActionCut           Action = "cut"    // hold both directions
	ActionCutUpstream   Action = "cut up"
	ActionCutDownstream Action = "cut down"
	ActionDelay         Action = "delay" // both directions
	ActionReset         Action = "break" // reset all connections
)

// Target is the kind of party or link that a scheduled fault affects. The values are those of script files.
type Target string

// The targets.
const (
	TargetProxy     Target = "proxy"       // a process
	TargetDiscovery Target = "roster"      // the link from one proxy to discovery
	TargetBackend   Target = "destination" // the links from all proxies to one backend
)

// Targets returns the targets that each action may have.
func Targets() map[Action][]Target {
	links := []Target{TargetDiscovery, TargetBackend}
	return map[Action][]Target{
		ActionFreeze:        {TargetProxy},
		ActionKill:          {TargetProxy},
		ActionCut:           links,
		ActionCutUpstream:   links,
		ActionCutDownstream: links,
		ActionDelay:         links,
		ActionReset:         links,
	}
}

// ReadScript reads and validates a script. It returns a *tomlfile.Error for invalid contents.
func ReadScript(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read script: %w", err)
	}
	s := &Script{Length: 20e6, Proxies: 2, Backends: 4, Rate: 60}
	if err := tomlfile.Decode(path, text, s); err != nil {
		return nil, err
	}
	keys := tomlfile.IndexKeys(text)
	for _, key := range keys.BareNumbers {
		if isDurationKey(key) {
			return nil, &tomlfile.Error{File: path, Line: keys.Line(key), Key: key,
				Reason: `is a time and has no unit: write it as "250ms"`}
		}
	}
	if invalid := s.validate(); invalid != nil {
		return nil, &tomlfile.Error{File: path, Line: keys.Line(invalid.key), Key: invalid.key, Reason: invalid.reason}
	}
	return s, nil
}

func isDurationKey(key string) bool {
	last := key[strings.LastIndexByte(key, '.')+1:]
	return slices.Contains([]string{"length", "at", "for", "delay"}, last)
}

// invalidValue is a value of a script that can't be used.
type invalidValue struct{ key, reason string }

// validate returns the first value that can't be used, or nil.
func (s *Script) validate() *invalidValue {
	for _, c := range []struct {
		key             string
		value, min, max float64
	}{
		{"length", s.Length.Seconds(), 1, 3600},
		{"proxies", float64(s.Proxies), 1, 64},
		{"destinations", float64(s.Backends), 1, 200},
		{"rate", s.Rate, 0.1, 5000},
		{"draw", float64(s.RandomFaults), 0, 1000},
	} {
		if !(c.value >= c.min && c.value <= c.max) { // NaN fails too
			return &invalidValue{c.key, fmt.Sprintf("%v is not within %v and %v", c.value, c.min, c.max)}
		}
	}
	for i, f := range s.Faults {
		if invalid := s.validateFault(fmt.Sprintf("fault.%d.", i), f); invalid != nil {
			return invalid
		}
	}
	return nil
}

func (s *Script) validateFault(prefix string, f ScheduledFault) *invalidValue {
	targets, known := Targets()[f.Action]
	switch {
	case !known:
		return &invalidValue{prefix + "do", fmt.Sprintf("%q is no fault", f.Action)}
	case !slices.Contains(targets, f.Target):
		return &invalidValue{prefix + "who", fmt.Sprintf("%q is done to none of %q", f.Action, f.Target)}
	case f.Index < 0 || f.Index >= s.targetCount(f.Target):
		return &invalidValue{prefix + "n", fmt.Sprintf("there are %d, from 0", s.targetCount(f.Target))}
	case f.At+f.For > s.Length:
		return &invalidValue{prefix + "for", "it ends after the play"}
	}
	return nil
}

// targetCount returns the number of targets of a kind.
func (s *Script) targetCount(target Target) int {
	if target == TargetBackend {
		return s.Backends
	}
	return s.Proxies
}
