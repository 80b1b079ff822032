// Package singleton gives each piece of the fleet's work to one instance at a time. It is pure: events in, decisions out, no clock, no
// network. State is what the quorum agrees on, entry by entry; Arbiter decides, at the member that leads, who gets what and whose lease
// is over; Holder is an instance's own side, which stops before anybody else may start; Fence is a receiver's memory of tokens, which
// turns away what an old owner sends when all of that was too late.
//
// Times are microseconds of the caller's own clock that never jumps. They are never compared between processes: a lease runs at the
// holder from when it sent what renewed it, and at the arbiter from when that came, which is later.
package singleton

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Time is a moment of one process's clock, in microseconds. Only differences mean anything.
type Time int64

// Settings are the same for all of a fleet.
type Settings struct {
	Works []string // the pieces of work that there are
	Lease Time     // for how long the arbiter waits for progress before it gives the work to another
	Drift float64  // by which share of its speed a clock may be wrong, in either direction
	Damp  Time     // how long an instance whose lease ran out gets no work; doubled with each time, up to 32 times
}

// Check returns the first setting that is of no use, and why.
func (s *Settings) Check() (key, why string) {
	switch {
	case len(s.Works) == 0 || len(s.Works) > MostWorks:
		return "works", fmt.Sprintf("there are %d, not 1 to %d", len(s.Works), MostWorks)
	case s.Lease < 100_000 || s.Lease > 3600e6:
		return "lease", "it is not within 100ms and 1h"
	case !(s.Drift >= 0 && s.Drift <= 0.4):
		return "drift", fmt.Sprintf("%v is not within 0 and 0.4", s.Drift)
	case s.Damp < 0 || s.Damp > 3600e6:
		return "damp", "it is not within 0 and 1h"
	}
	for i, w := range s.Works {
		if w == "" || len(w) > 64 || slices.Contains(s.Works[:i], w) {
			return fmt.Sprintf("works.%d", i), fmt.Sprintf("%q is empty, longer than 64 bytes or there twice", w)
		}
	}
	return "", ""
}

// Hold is for how long after it sent a beat an instance may act, where left of the lease remained when the beat came. With a clock that
// is slow by Drift this is over before the lease is over by a clock that is fast by as much: Hold/(1-Drift) = left/(1+Drift).
func (s *Settings) Hold(left Time) Time { return Time(float64(left) * (1 - s.Drift) / (1 + s.Drift)) }

// Bounds of what is kept.
const (
	MostWorks      = 64
	MostInstances  = 4096 // known to an arbiter; further ones get no work
	mostLapsed     = 1024 // names whose lapses are remembered
	mostLapses     = 5    // 2 to the power of this is the longest damping
	silentLeases   = 1    // after this many leases without a word an instance is gone
	forgetLapsesIn = 600e6
)

// Work is what is agreed on about a piece of work.
type Work struct {
	Token uint64 `json:"token"`           // of the last owner; grows with each and never falls
	Owner string `json:"owner,omitempty"` // empty: nobody
	Life  uint64 `json:"life,omitempty"`  // which process of that name
	Want  string `json:"want,omitempty"`  // whom an operator wants for it next
}

// Kinds of commands.
const (
	Grant  = "grant"  // the work is Who's from now on, if its token is still Token
	Expire = "expire" // the owner with Token let its lease run out
	Free   = "free"   // the owner with Token has given it back
	Want   = "want"   // an operator wants Who to have it; empty: no more
	Spare  = "spare"  // the lapses of Who are forgotten
	Term   = "term"   // from now on leases may be told that last as long as Lease says
)

// Command is an entry of the log on which the quorum agrees.
type Command struct {
	Kind  string `json:"kind"`
	Work  string `json:"work,omitempty"`
	Who   string `json:"who,omitempty"`
	Life  uint64 `json:"life,omitempty"`
	Token uint64 `json:"token,omitempty"`
	Lease Time   `json:"lease,omitempty"`
	Why   string `json:"why,omitempty"`
}

// State is what the commands come to, the same at every member. Its JSON form is the snapshot.
type State struct {
	Works  map[string]Work `json:"works"`
	Lapses map[string]int  `json:"lapses,omitempty"` // by name, how often a lease of its ran out
	Lease  Time            `json:"lease,omitempty"`  // the longest that a holder may have been told by who leads now
}

// NewState is the state before the first command.
func NewState() *State { return &State{Works: map[string]Work{}, Lapses: map[string]int{}} }

// ReadState reads a snapshot.
func ReadState(text []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("ownership: snapshot: %w", err)
	}
	return s, nil
}

// ErrStale is the answer to a command that rests on an owner who is no more.
var ErrStale = errors.New("the token is no longer the work's latest")

// Apply carries out a command. A command that comes twice, or whose ground has gone, changes nothing and gives ErrStale.
func (s *State) Apply(c Command) error {
	w := s.Works[c.Work]
	switch c.Kind {
	case Grant:
		if w.Token != c.Token {
			return fmt.Errorf("ownership: %s: token %d of %d: %w", c.Work, c.Token, w.Token, ErrStale)
		}
		w = Work{Token: w.Token + 1, Owner: c.Who, Life: c.Life, Want: w.Want}
		if w.Want == c.Who {
			w.Want = ""
		}
	case Expire, Free:
		if w.Token != c.Token || w.Owner == "" {
			return fmt.Errorf("ownership: %s: token %d of %d: %w", c.Work, c.Token, w.Token, ErrStale)
		}
		if c.Kind == Expire && (s.Lapses[w.Owner] > 0 || len(s.Lapses) < mostLapsed) {
			s.Lapses[w.Owner] = min(s.Lapses[w.Owner]+1, mostLapses)
		}
		w.Owner, w.Life = "", 0
	case Want:
		w.Want = c.Who
	case Spare:
		delete(s.Lapses, c.Who)
		return nil
	case Term:
		s.Lease = c.Lease
		return nil
	default: // of a newer build: to be the same at all members it must change nothing at any that does not know it
		return fmt.Errorf("ownership: a command of the kind %q is not known", c.Kind)
	}
	if s.Works[c.Work] = w; len(s.Works) > MostWorks {
		delete(s.Works, c.Work)
		return fmt.Errorf("ownership: %s: there are %d pieces of work already", c.Work, MostWorks)
	}
	return nil
}

// Held is a piece of work in a beat: whose token, and how many of its steps are done.
type Held struct {
	Work  string `json:"work"`
	Token uint64 `json:"token"`
	Steps uint64 `json:"steps"`
	Over  bool   `json:"over,omitempty"` // nothing more is done with this token
}

// Beat is what an instance says to the arbiter.
type Beat struct {
	Name    string   `json:"name"`
	Life    uint64   `json:"life"`
	Addr    string   `json:"addr,omitempty"` // where others reach it, if they are to
	Zone    string   `json:"zone,omitempty"`
	Build   uint64   `json:"build,omitempty"`   // newer ones are preferred
	Leaving bool     `json:"leaving,omitempty"` // wants no work any more
	Does    []string `json:"does,omitempty"`    // the works that it can do; none named: all
	Held    []Held   `json:"held,omitempty"`
}

// Yours is a piece of work in an answer.
type Yours struct {
	Work  string `json:"work"`
	Token uint64 `json:"token"`
	Left  Time   `json:"left"`          // of the lease, by the arbiter's clock when the beat came
	End   bool   `json:"end,omitempty"` // finish the step that is under way and give it back
}

// Answer is what the arbiter says to a beat, once a quorum has confirmed that it still leads.
type Answer struct {
	Yours []Yours `json:"yours,omitempty"` // all that is owned by the life that beat
	Why   string  `json:"why,omitempty"`   // why it gets nothing
	// Owners are those that others may reach, by work. What they say is fenced by the token, as any effect is.
	Owners map[string]Owner `json:"owners,omitempty"`
}

// Owner is who owns a work, for others.
type Owner struct {
	Addr  string `json:"addr"`
	Token uint64 `json:"token"`
}

// Arbiter decides at the member that leads. What it knows besides the state is learnt anew by each leader; until then every lease
// counts as just renewed.
type Arbiter struct {
	set       Settings
	instances map[string]*instance // by name
	leases    map[string]lease     // by work
	damped    map[string]Time      // by name, until when it gets nothing
	lapses    map[string]int       // as seen last, so that a new lapse is noticed
	clean     map[string]Time      // by name with lapses, since when it has had none
	runOut    Time                 // by then every lease that was told before this arbiter is over
}

type instance struct {
	beat Beat
	at   Time // of its latest beat
}

type lease struct {
	token  uint64
	steps  uint64
	from   Time // of the latest progress
	least  Time // it is not over before this: an earlier arbiter, with another file, may have told its holder so
	ending bool // that it is over stands in the log, perhaps: it must not be renewed any more
}

// NewArbiter returns one for a member that begins to lead at now, over a state that holds all that was agreed on before.
func NewArbiter(set Settings, s *State, now Time) *Arbiter {
	a := &Arbiter{set: set, instances: map[string]*instance{}, leases: map[string]lease{}, damped: map[string]Time{}, lapses: map[string]int{},
		clean: map[string]Time{}, runOut: now + max(set.Lease, s.Lease)}
	for name, w := range s.Works {
		if w.Owner != "" {
			a.leases[name] = lease{token: w.Token, from: now, least: a.runOut}
		}
	}
	for name, n := range s.Lapses { // when they were is not known: the whole of it
		a.lapses[name], a.damped[name], a.clean[name] = n, now+a.damping(n), now
	}
	return a
}

func (a *Arbiter) damping(lapses int) Time { return a.set.Damp << min(lapses, mostLapses) >> 1 }

// Beat takes in what an instance says at now, and returns the commands that it brings about and the answer, which may go out only once a
// quorum has confirmed, after now, that this member still leads.
func (a *Arbiter) Beat(now Time, b Beat, s *State) ([]Command, Answer) {
	i := a.instances[b.Name]
	switch {
	case i != nil && i.beat.Life != b.Life && now-i.at < silentLeases*a.set.Lease:
		return nil, Answer{Why: fmt.Sprintf("another process of the name %s is there, with life %x", b.Name, i.beat.Life)}
	case i == nil && len(a.instances) >= MostInstances:
		return nil, Answer{Why: fmt.Sprintf("there are %d instances already", MostInstances)}
	}
	a.instances[b.Name] = &instance{beat: b, at: now}
	var out []Command
	for _, h := range b.Held {
		w := s.Works[h.Work]
		if w.Token != h.Token || w.Owner != b.Name || w.Life != b.Life {
			continue // no longer its own, which the answer tells
		}
		if h.Over {
			out = append(out, Command{Kind: Free, Work: h.Work, Token: h.Token, Why: "given back by " + b.Name})
			continue
		}
		// Progress holds a lease, not that somebody beats: an owner whose work stands still is of no use.
		if l := a.leases[h.Work]; !l.ending && (l.token != h.Token || h.Steps > l.steps) {
			a.leases[h.Work] = lease{token: h.Token, steps: h.Steps, from: now, least: l.least}
		}
	}
	var answer Answer
	for _, name := range slices.Sorted(maps.Keys(s.Works)) {
		w := s.Works[name]
		if i := a.instances[w.Owner]; i != nil && i.beat.Life == w.Life && i.beat.Addr != "" {
			if answer.Owners == nil {
				answer.Owners = map[string]Owner{}
			}
			answer.Owners[name] = Owner{i.beat.Addr, w.Token}
		}
		if w.Owner != b.Name || w.Life != b.Life || slices.ContainsFunc(out, func(c Command) bool { return c.Work == name }) {
			continue
		}
		// Else it is about to be taken away, or how long a lease lasts is not agreed on yet, and who leads next would not know.
		if l := a.leases[name]; l.token == w.Token && !l.ending && now-l.from < a.set.Lease && s.Lease >= a.set.Lease {
			end := b.Leaving && a.choose(now, name, s, b.Name, nil) != "" || w.Want != "" && w.Want != b.Name && a.fit(now, w.Want, name)
			answer.Yours = append(answer.Yours, Yours{Work: name, Token: w.Token, Left: a.set.Lease - (now - l.from), End: end})
		}
	}
	return out, answer
}

// Tick returns what is due at now: leases that are over, and work for those who are there.
func (a *Arbiter) Tick(now Time, s *State) []Command {
	for name, i := range a.instances {
		if now-i.at > silentLeases*a.set.Lease {
			delete(a.instances, name)
		}
	}
	var out []Command
	for name, n := range s.Lapses {
		if n > a.lapses[name] {
			a.damped[name], a.clean[name] = now+a.damping(n), now
		}
		a.lapses[name] = n
		if now-a.clean[name] > max(forgetLapsesIn, 2*a.damping(n)) {
			out = append(out, Command{Kind: Spare, Who: name, Why: "no lease ran out for long"})
		}
	}
	for name := range a.lapses {
		if s.Lapses[name] == 0 {
			delete(a.lapses, name)
			delete(a.damped, name)
			delete(a.clean, name)
		}
	}
	// Longer leases are agreed on before any is told, shorter ones once all that may have been told are over: until then each that leads must wait
	// for the longer ones.
	if s.Lease < a.set.Lease || s.Lease > a.set.Lease && now >= a.runOut {
		out = append(out, Command{Kind: Term, Lease: a.set.Lease, Why: "the leader's file says so"})
	}
	given := map[string]int{} // in this tick, on top of what the state says
	for _, name := range a.set.Works {
		w := s.Works[name]
		if w.Owner != "" {
			l := a.leases[name]
			if l.token != w.Token { // just granted, by a command whose answer has not been seen yet
				a.leases[name] = lease{token: w.Token, from: now}
			} else if l.ending || now-l.from >= a.set.Lease && now >= l.least {
				l.ending = true
				a.leases[name] = l
				out = append(out, Command{Kind: Expire, Work: name, Token: w.Token, Why: a.cause(now, w)})
			}
			continue
		}
		delete(a.leases, name)
		if to := a.choose(now, name, s, "", given); to != "" {
			i := a.instances[to]
			given[to]++
			out = append(out, Command{Kind: Grant, Work: name, Who: to, Life: i.beat.Life, Token: w.Token, Why: "nobody owns it"})
		} else if w.Want != "" && !a.fit(now, w.Want, name) {
			out = append(out, Command{Kind: Want, Work: name, Why: w.Want + " is not there"})
		}
	}
	return out
}

// cause says why a lease ran out, as a hand-over's story needs it.
func (a *Arbiter) cause(now Time, w Work) string {
	i := a.instances[w.Owner]
	switch {
	case i == nil:
		return w.Owner + " is silent"
	case i.beat.Life != w.Life:
		return w.Owner + " has started anew"
	case now-i.at < a.set.Lease/2:
		return w.Owner + " is there and its work stands still"
	}
	return w.Owner + " is silent"
}

// fit says whether an instance may be given a work at now.
func (a *Arbiter) fit(now Time, name, work string) bool {
	i := a.instances[name]
	return i != nil && (len(i.beat.Does) == 0 || slices.Contains(i.beat.Does, work)) && !i.beat.Leaving && now-i.at < a.set.Lease/2 && now >= a.damped[name]
}

// choose returns who should have a piece of work: whom the operators want, else who has least, then the newest build, then in an
// order that differs from work to work; empty: nobody is fit. given is what each is getting on top of what the state says.
func (a *Arbiter) choose(now Time, work string, s *State, not string, given map[string]int) string {
	if want := s.Works[work].Want; want != "" {
		if want != not && a.fit(now, want, work) {
			return want
		}
		return ""
	}
	has, zones := maps.Clone(given), map[string]int{}
	if has == nil {
		has = map[string]int{}
	}
	for _, w := range s.Works {
		if w.Owner != "" {
			has[w.Owner]++
		}
	}
	for name, n := range has { // of two that have as much, the one whose zone has less
		if i := a.instances[name]; i != nil {
			zones[i.beat.Zone] += n
		}
	}
	best := ""
	for name, i := range a.instances {
		if name == not || !a.fit(now, name, work) {
			continue
		}
		if best == "" {
			best = name
			continue
		}
		b := a.instances[best]
		if cmp.Or(cmp.Compare(has[name], has[best]), cmp.Compare(zones[i.beat.Zone], zones[b.beat.Zone]), cmp.Compare(b.beat.Build, i.beat.Build),
			cmp.Compare(mix(work, name), mix(work, best)), cmp.Compare(name, best)) < 0 {
			best = name
		}
	}
	return best
}

// Instances returns those that have been heard within a lease, by name.
func (a *Arbiter) Instances() []string { return slices.Sorted(maps.Keys(a.instances)) }

// Age is how long ago the owner of a work made progress, as far as this arbiter knows.
func (a *Arbiter) Age(now Time, work string) Time { return now - a.leases[work].from }
