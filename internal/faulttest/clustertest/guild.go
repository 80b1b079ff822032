// Package clustertest plays owners of work with real processes: members of a quorum, instances and a recorder, with a relay on each way between two of
// them, faults drawn from a seed, and a checker of what counted.
package clustertest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/faulttest"
	"pumiceline/internal/singleton"
	"pumiceline/internal/singleton/leaseclient"
	"pumiceline/internal/singleton/raftmember"
)

// guild is members, instances and a recorder on a stage: every process real, and a relay on each way between two of them.
type guild struct {
	*faulttest.Stage
	dir, program string
	lease        time.Duration
	works        []string
	real         []string // the members' own addresses
	ways         map[string]*faulttest.Relay
	processes    map[string]*faulttest.Process
	rates        map[string]float64 // of instances' clocks; absent: 1
	recorder     *fakestandalone.Recorder
	server       *http.Server
	receiver     string
}

// set sets the stage. Nothing runs yet but the recorder. program is the built program.
func set(program string, members int, lease time.Duration, works []string, unfenced bool) (*guild, error) {
	g := &guild{Stage: faulttest.New(), program: program, lease: lease, works: works, ways: map[string]*faulttest.Relay{},
		processes: map[string]*faulttest.Process{}, rates: map[string]float64{}}
	var err error
	if g.dir, err = os.MkdirTemp("", "guild"); err != nil {
		return g, fmt.Errorf("stage: %w", err)
	}
	if g.recorder, err = fakestandalone.NewRecorder(filepath.Join(g.dir, "effects")); err != nil {
		return g, err
	}
	g.recorder.Unfenced = unfenced
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return g, fmt.Errorf("stage: %w", err)
	}
	g.receiver, g.server = ln.Addr().String(), &http.Server{Handler: g.recorder, ReadHeaderTimeout: 10 * time.Second}
	go g.server.Serve(ln) // its end is close's
	for i := range members {
		free, err := net.Listen("tcp", own(2, i))
		if err != nil {
			return g, fmt.Errorf("stage: %w", err)
		}
		g.real = append(g.real, free.Addr().String())
		free.Close()
	}
	return g, g.file("operator", 0)
}

// close ends all that runs on the stage.
func (g *guild) close() {
	g.Close()
	if g.server != nil {
		g.server.Close()
	}
	if g.recorder != nil {
		g.recorder.Close()
	}
	os.RemoveAll(g.dir)
}

// own is where a party of this process's play listens: an address that no connection of others and no other play takes a port of, until the
// party does. part tells kinds of parties apart.
func own(part, i int) string {
	return fmt.Sprintf("127.%d.%d.%d:0", 16+os.Getpid()%200, 4*(os.Getpid()/200%50)+part+i/250, i%250+1)
}

func member(i int) string   { return fmt.Sprint("member ", i+1) }
func instance(i int) string { return fmt.Sprint("instance ", i+1) }

// way is the relay from a party to another, made at first use.
func (g *guild) way(from, to string) (*faulttest.Relay, error) {
	name := from + " to " + to
	if r := g.ways[name]; r != nil {
		return r, nil
	}
	target := g.receiver
	for i := range g.real {
		if to == member(i) {
			target = g.real[i]
		}
	}
	r, err := g.Relay(name, target)
	if err == nil {
		g.ways[name] = r
	}
	return r, err
}

// file writes the fleet's file as a party has it: with its own ways to the others. self is the member's number, 0 for none.
func (g *guild) file(party string, self int) error {
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\n", filepath.Base(g.dir))
	fmt.Fprintf(&text, "lease = %q\ndamp = %q\n[members]\n", g.lease, g.lease)
	addr := func(to string, direct string) (string, error) {
		if party == "operator" {
			return direct, nil
		}
		r, err := g.way(party, to)
		if err != nil {
			return "", err
		}
		return r.Addr(), nil
	}
	for i, direct := range g.real {
		at := direct
		var err error
		if i+1 != self {
			if at, err = addr(member(i), direct); err != nil {
				return err
			}
		}
		fmt.Fprintf(&text, "%d = %q\n", i+1, at)
	}
	for _, work := range g.works {
		at := g.receiver
		var err error
		if self == 0 {
			if at, err = addr("recorder", g.receiver); err != nil {
				return err
			}
		}
		fmt.Fprintf(&text, "[works.%s]\nreceiver = \"http://%s/effects\"\n", work, at)
	}
	if err := os.WriteFile(g.path(party), []byte(text.String()), 0o600); err != nil {
		return fmt.Errorf("stage: %w", err)
	}
	return nil
}

func (g *guild) path(party string) string {
	return filepath.Join(g.dir, strings.ReplaceAll(party, " ", "-")+".toml")
}

func (g *guild) disk(i int) string { return filepath.Join(g.dir, fmt.Sprint("disk-", i+1)) }

// command is the program with arguments.
func (g *guild) command(args ...string) *exec.Cmd {
	return exec.Command(g.program, args...)
}

// startMember starts a member's process, on the disk that it has.
func (g *guild) startMember(i int) error {
	if err := os.MkdirAll(g.disk(i), 0o700); err != nil {
		return fmt.Errorf("stage: %w", err)
	}
	if err := g.file(member(i), i+1); err != nil {
		return err
	}
	return g.begin(member(i), "owner", "member", "--fleet", g.path(member(i)), "--id", fmt.Sprint(i+1), "--dir", g.disk(i), "--listen", g.real[i])
}

// startInstance starts an instance's process.
func (g *guild) startInstance(i int) error {
	if err := g.file(instance(i), 0); err != nil {
		return err
	}
	rate := 1.0
	if r, there := g.rates[instance(i)]; there {
		rate = r
	}
	return g.begin(instance(i), "owner", "run", "--fleet", g.path(instance(i)), "--name", instance(i), "--zone", fmt.Sprint("z", i%2),
		"--clock-rate", fmt.Sprint(rate), "--history", g.path(instance(i))+".history")
}

// look reads, until ctx ends, which effect of each work counted last: what somebody who uses the outside system would see.
func (g *guild) look(ctx context.Context) (seen []porcupine.Operation) {
	for every := time.NewTicker(50 * time.Millisecond); ; {
		select {
		case <-ctx.Done():
			every.Stop()
			return seen
		case <-every.C:
		}
		for _, work := range g.works {
			call := time.Now().UnixNano()
			last := g.last(work).Effect
			seen = append(seen, porcupine.Operation{Input: singleton.Effect{Role: work}, Call: call, Output: last, Return: time.Now().UnixNano()})
		}
	}
}

// linear judges what the instances and a reader saw of the recorder: whether there is an order of all effects and looks, each between its call
// and its answer, in which a receiver that compares tokens gives those answers. An effect without an answer may have come at any time since.
func (g *guild) linear(all []porcupine.Operation) (bool, error) {
	files, err := filepath.Glob(filepath.Join(g.dir, "*.history"))
	if err != nil {
		return false, fmt.Errorf("stage: %w", err)
	}
	for client, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return false, fmt.Errorf("stage: %w", err)
		}
		open := map[singleton.Effect]int{}
		for line := range bytes.Lines(text) {
			var e leaseclient.HistoryRecord
			if json.Unmarshal(line, &e) != nil {
				break // killed in the middle of it
			}
			if e.Outcome == "sent" {
				open[e.Effect] = len(all)
				all = append(all, porcupine.Operation{ClientId: 1 + client, Input: e.Effect, Call: e.At, Output: "unknown", Return: math.MaxInt64})
			} else if at, there := open[e.Effect]; there && e.Outcome != "unknown" {
				all[at].Output, all[at].Return = e.Outcome, e.At
			}
		}
	}
	model := porcupine.Model{
		Partition: func(all []porcupine.Operation) (out [][]porcupine.Operation) {
			by := map[string][]porcupine.Operation{}
			for _, o := range all {
				work := o.Input.(singleton.Effect).Role
				by[work] = append(by[work], o)
			}
			return slices.Collect(maps.Values(by))
		},
		Init: func() any { return singleton.Effect{} },
		Step: func(state, input, output any) (bool, any) {
			known, e := state.(singleton.Effect), input.(singleton.Effect)
			if e.Token == 0 {
				return output == known, known
			}
			newer := e.Token > known.Token || e.Token == known.Token && e.Serial > known.Serial
			next := known
			if newer {
				next = e
			}
			return output == "unknown" || newer == (output == "taken"), next
		},
	}
	return porcupine.CheckOperations(model, all), nil
}

func (g *guild) begin(name string, args ...string) error {
	p, err := g.Start(name, g.command(args...))
	if err == nil {
		g.processes[name] = p
	}
	return err
}

// status is what an operator sees.
func (g *guild) status() (s raftmember.FleetStatus, text string, err error) {
	out, err := g.command("owner", "status", "--json", "--fleet", g.path("operator")).Output()
	if json.Unmarshal(out, &s) != nil && err == nil {
		err = fmt.Errorf("stage: status: %s", out)
	}
	return s, string(out), err
}

// await waits until yes is so, till by.
func (g *guild) await(by time.Time, yes func() bool) bool {
	for !yes() {
		if time.Now().After(by) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// last is the latest effect that counted of a work.
func (g *guild) last(work string) (last fakestandalone.Taken) {
	for _, t := range g.recorder.Taken() {
		if t.Role == work {
			last = t
		}
	}
	return last
}

// Options are what is to be played. The stage's command says what each means.
type Options struct {
	Seed      uint64
	Members   int
	Instances int
	Works     int
	Lease     time.Duration
	Length    time.Duration
	Unfenced  bool
}

// Verdict is what a play of owners came to.
type Verdict struct {
	Seed      uint64             `json:"seed"`
	Harms     int                `json:"harms"` // effects that counted out of turn
	First     string             `json:"first,omitempty"`
	Linear    bool               `json:"linearizable"` // what instances saw fits a receiver that compares tokens
	Taken     int                `json:"taken"`
	Refused   int                `json:"late_refused"`
	HandOvers int                `json:"hand_overs"`
	Gaps      map[string]float64 `json:"longest_gap_s"` // by work, between two effects that counted
	AgainS    float64            `json:"owned_again_s"` // all works, after the last fault's end
	Why       []string           `json:"why,omitempty"`
	History   []faulttest.Note   `json:"history,omitempty"`
}

// Longest is the longest time, in seconds, for which no effect of a work counted.
func (v *Verdict) Longest() (most float64) {
	for _, g := range v.Gaps {
		most = max(most, g)
	}
	return most
}

// againLeases is within how many leases after the last fault every work has to be owned again: a lease that runs out, the damping of
// who let it run out several times, an election.
const againLeases = 12

// Play plays the faults of a seed.
func Play(program string, c *Options) (*Verdict, error) {
	v := &Verdict{Seed: c.Seed, Gaps: map[string]float64{}}
	var works []string
	for i := range c.Works {
		works = append(works, fmt.Sprint("work-", i+1))
	}
	g, err := set(program, c.Members, c.Lease, works, c.Unfenced)
	defer g.close()
	if err != nil {
		return v, err
	}
	draw := rand.New(rand.NewPCG(c.Seed, 27))
	for i := range c.Members {
		if err := g.startMember(i); err != nil {
			return v, err
		}
	}
	for i := range c.Instances {
		g.rates[instance(i)] = []float64{1, 1, 0.85, 1.15}[draw.IntN(4)] // wrong by less than the drift that the file bears
		if err := g.startInstance(i); err != nil {
			return v, err
		}
	}
	owned := func(since time.Time) func() bool {
		return func() bool {
			return !slices.ContainsFunc(works, func(w string) bool { return !g.last(w).At.After(since) })
		}
	}
	if !g.await(time.Now().Add(30*time.Second), owned(time.Time{})) {
		v.Why = append(v.Why, "not all works were owned within 30 s of the start")
		v.History = g.History()
		return v, nil
	}
	watching := make(chan []porcupine.Operation, 1)
	looking, endLook := context.WithCancel(context.Background())
	defer endLook()
	go func() { watching <- g.look(looking) }()
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(c.Length))
	defer cancel()
	for ctx.Err() == nil {
		end := g.fault(draw, c)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration((0.3 + 2.5*draw.Float64()) * float64(c.Lease))):
		}
		end()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(draw.Float64() * float64(c.Lease))):
		}
	}
	calm := time.Now()
	g.Say("script", "the last fault is over")
	if !g.await(calm.Add(againLeases*c.Lease), owned(calm)) {
		v.Why = append(v.Why, fmt.Sprintf("not all works were owned again %d leases after the last fault", againLeases))
	}
	v.AgainS = time.Since(calm).Seconds()
	taken := g.recorder.Taken()
	latest := map[string]fakestandalone.Taken{}
	for _, t := range taken {
		if was, there := latest[t.Role]; there {
			v.Gaps[t.Role] = max(v.Gaps[t.Role], t.At.Sub(was.At).Seconds())
			if t.Token != was.Token {
				v.HandOvers++
			}
		}
		latest[t.Role] = t
	}
	v.Taken, v.Refused = len(taken), len(g.recorder.Refused())
	if v.Harms, v.First = fakestandalone.Interleaved(taken); v.Harms > 0 {
		v.Why = append(v.Why, v.First)
	}
	endLook()
	if v.Linear, err = g.linear(<-watching); err != nil {
		return v, err
	}
	if !v.Linear {
		v.Why = append(v.Why, "what the instances saw fits no order of effects")
	}
	v.History = g.History()
	return v, nil
}

// fault begins one fault and returns what ends it.
func (g *guild) fault(draw *rand.Rand, c *Options) (end func()) {
	work := g.works[draw.IntN(len(g.works))]
	victim := g.last(work).From // who owns something is the one worth hitting
	m := draw.IntN(c.Members)
	hold := func(direction faulttest.Direction, ways ...*faulttest.Relay) func() {
		for _, r := range ways {
			r.Set(direction, faulttest.Fault{Hold: true})
		}
		return func() {
			for _, r := range ways {
				r.Heal()
			}
		}
	}
	between := func(from, to func(name string) bool) (found []*faulttest.Relay) {
		for name, r := range g.ways {
			a, b, _ := strings.Cut(name, " to ")
			if from(a) && to(b) {
				found = append(found, r)
			}
		}
		return found
	}
	is := func(name string) func(string) bool { return func(s string) bool { return s == name } }
	members := func(s string) bool { return strings.HasPrefix(s, "member") }
	switch kind := draw.IntN(8); kind {
	case 0, 1: // the owner is frozen, in 1 with an effect that arrives later
		release := func() {}
		if kind == 1 {
			release = hold(faulttest.Up, between(is(victim), is("recorder"))...)
			time.Sleep(c.Lease / 5)
		}
		if err := g.processes[victim].Freeze(); err != nil {
			g.Say("script", "%v", err)
		}
		return func() {
			release()
			if err := g.processes[victim].Thaw(); err != nil {
				g.Say("script", "%v", err)
			}
		}
	case 2: // the quorum does not hear the owner, or the reverse; what was sent arrives later
		return hold(faulttest.Direction(draw.IntN(2)), between(is(victim), members)...)
	case 3: // the owner's effects stand still while it beats
		return hold(faulttest.Up, between(is(victim), is("recorder"))...)
	case 4:
		g.processes[victim].Kill()
		return func() {
			for i := range c.Instances {
				if instance(i) == victim {
					if err := g.startInstance(i); err != nil {
						g.Say("script", "%v", err)
					}
				}
			}
		}
	case 5: // a member is killed, or so many that there is no quorum
		many := 1
		if draw.IntN(3) == 0 {
			many = c.Members/2 + 1
		}
		var gone []int
		for k := range many {
			gone = append(gone, (m+k)%c.Members)
			g.processes[member(gone[k])].Kill()
		}
		return func() {
			for _, i := range gone {
				if err := g.startMember(i); err != nil {
					g.Say("script", "%v", err)
				}
			}
		}
	case 6: // a member's disk is full: it ends by itself
		if err := g.processes[member(m)].Fill(); err != nil {
			g.Say("script", "%v", err)
		}
		return func() {
			g.processes[member(m)].Kill()
			if err := g.startMember(m); err != nil {
				g.Say("script", "%v", err)
			}
		}
	default: // a member is cut off from the others, one way or both
		release := hold(faulttest.Up, between(is(member(m)), members)...)
		if draw.IntN(2) == 0 {
			other := hold(faulttest.Up, between(members, is(member(m)))...)
			return func() { release(); other() }
		}
		return release
	}
}
