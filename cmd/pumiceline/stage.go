package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/faulttest"
)

type stageCmd struct {
	Roster stageRosterCmd `cmd:"" help:"Count what discovery is asked when each instance has a copy of the roster, and kill its owner."`
	Owners stageOwnersCmd `cmd:"" help:"Play faults drawn from a seed on owners of work: members, instances and a recorder."`
	Run    stageRunCmd    `cmd:"" help:"Play a script: real proxies, with faults between them and stand-ins."`
}

type stageRunCmd struct {
	File string `arg:"" help:"The script." type:"existingfile"`
	Seed uint64 `help:"What the script's drawn faults are drawn from." default:"1"`
	Out  string `help:"File for the verdict and the history, as JSON." type:"path"`
}

// verdict is what a play came to.
type verdict struct {
	Seed    uint64           `json:"seed"`
	Proxies []tallied        `json:"proxies"`
	After   tallied          `json:"after"`  // of all, from a second after the last fault's end
	Faults  []string         `json:"faults"` // what a proxy did that none may
	History []faulttest.Note `json:"history"`
}

// tallied is what clients of one proxy got.
type tallied struct {
	Asked   int `json:"asked"`
	Served  int `json:"served"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

func (t *tallied) add(c *fakestandalone.Clients) {
	n := c.Take()
	t.Asked, t.Served, t.Refused, t.Failed = t.Asked+n.Asked, t.Served+n.Served, t.Refused+n.Refused, t.Failed+n.Failed
}

// theatre is what a play needs: the stage, stand-ins, and by proxy its process and its way to the roster.
type theatre struct {
	*faulttest.Stage
	dir, program string
	world        *fakestandalone.World
	ways         []*faulttest.Relay // to destinations
	rosters      []*faulttest.Relay // by proxy
	fronts       []string

	mu        sync.Mutex
	processes []*faulttest.Process
}

// Run plays a script and shows what clients got. It fails if a proxy ended by itself or in disorder.
func (c *stageRunCmd) Run(out output) error {
	script, err := faulttest.ReadScript(c.File)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	t, err := open(ctx, script)
	if t != nil {
		defer t.Close()
		defer os.RemoveAll(t.dir)
	}
	if err != nil {
		return err
	}
	steps, v := script.Steps(c.Seed), verdict{Seed: c.Seed, Proxies: make([]tallied, script.Proxies)}
	var clients []*fakestandalone.Clients
	var running sync.WaitGroup
	begun := time.Now()
	load, endLoad := context.WithDeadline(ctx, begun.Add(time.Duration(script.Length)*time.Microsecond))
	defer endLoad()
	for _, front := range t.fronts {
		k := &fakestandalone.Clients{Base: "http://" + front, Rate: script.Rate / float64(script.Proxies), Classes: fakestandalone.Classes, Tenants: fakestandalone.Tenants}
		clients = append(clients, k)
		running.Go(func() { k.Run(load) })
	}
	faulttest.Play(steps, begun, ctx.Done(), t.do)
	select { // what the last fault left under way
	case <-time.After(time.Second):
	case <-load.Done():
	}
	for i, k := range clients {
		v.Proxies[i].add(k)
	}
	running.Wait()
	for i, k := range clients {
		before := v.Proxies[i]
		v.Proxies[i].add(k)
		now := v.Proxies[i]
		v.After = tallied{v.After.Asked + now.Asked - before.Asked, v.After.Served + now.Served - before.Served,
			v.After.Refused + now.Refused - before.Refused, v.After.Failed + now.Failed - before.Failed}
	}
	v.Faults = t.end()
	v.History = t.History()
	fmt.Fprintf(out, "%s, seed %d\n%s", script.Title, c.Seed, t)
	for i, p := range v.Proxies {
		fmt.Fprintf(out, "proxy %d: %d asked, %d served, %d refused, %d failed\n", i, p.Asked, p.Served, p.Refused, p.Failed)
	}
	fmt.Fprintf(out, "after the last fault: %d asked, %d served, %d refused, %d failed\n", v.After.Asked, v.After.Served, v.After.Refused, v.After.Failed)
	if err := keepVerdict(c.Out, v); err != nil {
		return err
	}
	if len(v.Faults) > 0 {
		return fmt.Errorf("stage: %v; again with: pumiceline stage run %s --seed %d", v.Faults, c.File, c.Seed)
	}
	return nil
}

// keepVerdict writes a verdict as JSON, where a file for it is named.
func keepVerdict(path string, v any) error {
	if path == "" {
		return nil
	}
	text, err := json.MarshalIndent(v, "", " ")
	if err == nil {
		err = os.WriteFile(path, append(text, '\n'), 0o644)
	}
	if err != nil {
		return fmt.Errorf("stage: %w", err)
	}
	return nil
}

// open sets the stage for a script: stand-ins behind relays, and proxies that are ready.
func open(ctx context.Context, script *faulttest.Script) (*theatre, error) {
	t := &theatre{Stage: faulttest.New(), processes: make([]*faulttest.Process, script.Proxies)}
	var err error
	if t.program, err = os.Executable(); err != nil {
		return t, fmt.Errorf("stage: %w", err)
	}
	if t.dir, err = os.MkdirTemp("", "stage"); err != nil {
		return t, fmt.Errorf("stage: %w", err)
	}
	var listeners []net.Listener
	for range 1 + script.Destinations {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return t, fmt.Errorf("stage: %w", err)
		}
		listeners = append(listeners, ln)
	}
	sites := []string{"east", "west"}
	t.world = fakestandalone.NewWorld(listeners[0], listeners[1:], sites, fakestandalone.Sleep(20*time.Millisecond))
	go t.world.Serve(ctx) // its end is the play's
	for i, e := range t.world.Entries {
		way, err := t.Relay(fmt.Sprint("destination ", i), e.Address)
		if err != nil {
			return t, err
		}
		e.Address = way.Addr()
		t.world.Roster.Put(e)
		t.ways = append(t.ways, way)
	}
	for i := range script.Proxies {
		roster, err := t.Relay(fmt.Sprint("roster ", i), listeners[0].Addr().String())
		if err != nil {
			return t, err
		}
		front, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", i+1)) // an address of its own: no connection of others takes the port
		if err != nil {
			return t, fmt.Errorf("stage: %w", err)
		}
		t.rosters, t.fronts = append(t.rosters, roster), append(t.fronts, front.Addr().String())
		front.Close()
		if err := t.configure(i, script.Proxies, sites); err != nil {
			return t, err
		}
		if err := t.begin(i); err != nil {
			return t, err
		}
	}
	late, cancel := context.WithDeadline(ctx, time.Now().Add(20*time.Second))
	defer cancel()
	for i, front := range t.fronts {
		if err := awaitReady(late, "http://"+front, nil); err != nil {
			return t, fmt.Errorf("stage: proxy %d is not ready: %w; its log:\n%s", i, err, t.processes[i].Log())
		}
	}
	return t, nil
}

// configure writes the configuration of a proxy.
func (t *theatre) configure(i, of int, sites []string) error {
	text, err := fakestandalone.ConfigOf(t.fronts[i], t.rosters[i].Addr(), sites, i, of)
	if err == nil {
		err = os.WriteFile(t.file(i), text, 0o600)
	}
	if err != nil {
		return fmt.Errorf("stage: %w", err)
	}
	return nil
}

func (t *theatre) file(i int) string { return filepath.Join(t.dir, fmt.Sprintf("proxy-%d.json", i)) }

// begin starts a proxy's process.
func (t *theatre) begin(i int) error {
	cmd := exec.Command(t.program, "serve", "--config", t.file(i))
	cmd.Env = append(os.Environ(), fmt.Sprint("ROUTER_NAME=proxy-", i), "TMPDIR="+t.dir)
	p, err := t.Start(fmt.Sprint("proxy ", i), cmd)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.processes[i] = p
	return nil
}

// do carries out a step and returns what ends it.
func (t *theatre) do(s faulttest.Step) (undo func()) {
	t.Say("script", "%v", &s)
	if s.Who == "proxy" {
		t.mu.Lock()
		p := t.processes[s.N]
		t.mu.Unlock()
		if s.Do == "freeze" {
			if err := p.Freeze(); err != nil { // it was killed before, and is not back yet
				t.Say("script", "%v", err)
				return func() {}
			}
			return func() {
				if err := p.Thaw(); err != nil { // killed while it was frozen
					t.Say("script", "%v", err)
				}
			}
		}
		p.Kill()
		return func() {
			if err := t.begin(s.N); err != nil {
				t.Say("script", "%v", err)
			}
		}
	}
	way := t.ways
	if s.Who == "roster" {
		way = t.rosters
	}
	r, fault := way[s.N], faulttest.Fault{Hold: true}
	if s.Do == "break" {
		r.Break()
		return func() {}
	}
	if s.Do == "delay" {
		fault = faulttest.Fault{Delay: time.Duration(s.Delay) * time.Microsecond}
	}
	if s.Do != "cut down" {
		r.Set(faulttest.Up, fault)
	}
	if s.Do != "cut up" {
		r.Set(faulttest.Down, fault)
	}
	return r.Heal
}

// end has all proxies stop, and returns what was out of order.
func (t *theatre) end() (faults []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, p := range t.processes {
		if err := p.Stop(); err != nil {
			faults = append(faults, fmt.Sprintf("proxy %d had ended: %s", i, p.Log()))
		}
	}
	for i, p := range t.processes {
		if err := p.Wait(time.Now().Add(15 * time.Second)); err != nil {
			faults = append(faults, fmt.Sprintf("proxy %d: %v", i, err))
		}
	}
	return faults
}
