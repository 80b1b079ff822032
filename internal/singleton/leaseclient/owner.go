// Package leaseclient is an instance's link to the members that agree on who owns which work: it beats, and does the steps of what it owns.
package leaseclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"pumiceline/internal/singleton"
)

// Act has an effect carried out: do is called with the effect's name if the work is still owned, and never otherwise.
type Act func(do func(singleton.Effect) error) error

// Step is one step of a work. It has to be over, and to do nothing more, soon after ctx ends. A step that has nothing to do and found that out is
// done: an error is one that made no progress.
type Step func(ctx context.Context, act Act) error

// ErrOver is what Act returns once the work is no longer owned.
var ErrOver = errors.New("the lease is over")

// Options are what an agent needs to know.
type Options struct {
	Fleet    string
	Name     string
	Life     singleton.Incarnation // never used by another process of this name
	Addr     string                // where others reach this instance; empty: they need not
	Zone     string
	Build    uint64
	Members  map[uint64]string // addresses by number
	Settings singleton.Settings
	Works    map[string]Step // those that this instance can do; it beats for all
	Log      *slog.Logger
	Rate     float64 // of this instance's clock, for tests; 0: 1
}

// Parts of a lease: a beat, the time that one has, the rest between two steps.
const (
	beatPart = 10
	callPart = 4
	restPart = 10
	// leaveLeases is how long an instance that stops waits for others to take over what it owns.
	leaveLeases = 3
)

// Agent is an instance's side.
type Agent struct {
	opts   Options
	begun  time.Time
	lease  time.Duration
	client *http.Client
	kick   chan struct{} // a beat is due at once

	mu     sync.Mutex
	holder *singleton.Holder
	order  []uint64 // the members' numbers
	at     int      // in order, the one that is taken to lead
	why    string
	owners map[string]singleton.HolderEndpoint
}

// New returns an agent that owns nothing yet.
func New(opts Options) (*Agent, error) {
	if err := opts.Settings.Validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if len(opts.Members) == 0 || opts.Name == "" {
		return nil, errors.New("owner: members and a name must be given")
	}
	if opts.Rate == 0 {
		opts.Rate = 1
	}
	return &Agent{opts: opts, begun: time.Now(), lease: time.Duration(opts.Settings.LeaseDuration) * time.Microsecond, kick: make(chan struct{}, 1),
		order:  slices.Sorted(maps.Keys(opts.Members)),
		holder: singleton.NewHolder(singleton.HolderOptions{Settings: opts.Settings, Name: opts.Name, Incarnation: opts.Life, Zone: opts.Zone, Build: opts.Build}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second}}}, nil
}

// now is the instance's clock: it never jumps, not when the process is frozen either.
func (a *Agent) now() singleton.Time {
	return singleton.Time(float64(time.Since(a.begun).Microseconds()) * a.opts.Rate)
}

// ActiveLeases are the works that may be acted on now, with their tokens.
func (a *Agent) Owned() map[string]singleton.FencingToken {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.ActiveLeases(a.now())
}

// HolderEndpoint is where the owner of a work is reached and its token, as far as is known, and whether that is this instance, which may act on it now.
func (a *Agent) Owner(work string) (addr string, token singleton.FencingToken, here bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if token, here = a.holder.ActiveLeases(a.now())[work]; here {
		return a.opts.Addr, token, true
	}
	if o := a.owners[work]; o.Addr != a.opts.Addr { // its own, which is over: there is none yet
		return o.Addr, o.Token, false
	}
	return "", 0, false
}

// Run beats and works until stop ends and what is owned then has gone to others, or three leases have passed since.
func (a *Agent) Run(stop context.Context) {
	running, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	var all sync.WaitGroup
	for work, step := range a.opts.Works {
		all.Go(func() { a.work(running, work, step) })
	}
	leaving := context.AfterFunc(stop, func() {
		a.mu.Lock()
		a.holder.StartLeaving()
		a.mu.Unlock()
		a.beatNow()
	})
	defer leaving()
	every := time.NewTicker(a.lease / beatPart)
	defer every.Stop()
	var last time.Time // by when this ends, once it is to stop
	for turn := 0; ; turn++ {
		a.mu.Lock()
		idle := a.holder.IsEmpty()
		a.mu.Unlock()
		if !idle || stop.Err() != nil || turn%2 == 0 { // hundreds own nothing, and the member that leads answers all
			a.beat(running)
		}
		if stop.Err() != nil {
			if last.IsZero() {
				last = time.Now().Add(leaveLeases * a.lease)
			}
			a.mu.Lock()
			gone := a.holder.IsEmpty() // it is not enough to have stopped: until the quorum knows, nobody else may start
			a.mu.Unlock()
			if gone || time.Now().After(last) {
				break
			}
		}
		select {
		case <-every.C:
		case <-a.kick:
		}
	}
	a.opts.Log.Info("an instance leaves", "name", a.opts.Name, "still_owned", a.Owned())
	cancel()
	all.Wait()
	a.client.CloseIdleConnections()
}

func (a *Agent) beatNow() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// beat says to the member that leads what this instance holds and learns what it owns.
func (a *Agent) beat(ctx context.Context) {
	a.mu.Lock()
	sent := a.now()
	b := a.holder.Heartbeat()
	b.Addr, b.Roles = a.opts.Addr, slices.Sorted(maps.Keys(a.opts.Works))
	text, err := json.Marshal(b)
	at, member := a.at, a.opts.Members[a.order[a.at]]
	a.mu.Unlock()
	if err != nil {
		a.opts.Log.Error("a beat can't be written", "error", err)
		return
	}
	answer, leader, err := a.call(ctx, time.Now().Add(a.lease/callPart), member, text)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.opts.Log.Debug("a beat is not answered", "member", member, "error", err)
		if a.at = slices.Index(a.order, leader); a.at < 0 {
			a.at = (at + 1) % len(a.order)
		}
		return
	}
	if answer.Reason != a.why && answer.Reason != "" {
		a.opts.Log.Warn("this instance gets no work", "name", a.opts.Name, "why", answer.Reason)
	}
	a.why, a.owners = answer.Reason, answer.Holders
	before := a.holder.ActiveLeases(sent)
	a.holder.HandleResponse(sent, answer)
	for work, token := range a.holder.ActiveLeases(a.now()) {
		if before[work] != token {
			a.opts.Log.Info("this instance owns a work", "name", a.opts.Name, "work", work, "token", token)
		}
	}
}

// call makes a beat, which is over by a moment. leader is the one to ask, where the member named it.
func (a *Agent) call(ctx context.Context, by time.Time, member string, beat []byte) (answer singleton.HeartbeatResponse, leader uint64, err error) {
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+member+"/v1/beat", bytes.NewReader(beat))
	if err != nil {
		return answer, 0, fmt.Errorf("owner: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Fleet", a.opts.Fleet)
	resp, err := a.client.Do(req)
	if err != nil {
		return answer, 0, fmt.Errorf("owner: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		leader, _ = strconv.ParseUint(resp.Header.Get("X-Leader"), 10, 64) // 0: it knows none
		return answer, leader, fmt.Errorf("owner: %s answers %s", member, resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&answer); err != nil {
		return answer, 0, fmt.Errorf("owner: %s: %w", member, err)
	}
	return answer, 0, nil
}

// work does the steps of a work whenever it is owned.
func (a *Agent) work(ctx context.Context, work string, step Step) {
	act := func(do func(singleton.Effect) error) error {
		a.mu.Lock()
		e, ok := a.holder.NextEffect(a.now(), work)
		a.mu.Unlock()
		if !ok {
			return ErrOver
		}
		return do(e) // the lease may be over before it arrives: the receiver's fence is for that
	}
	rest := time.NewTicker(a.lease / restPart)
	defer rest.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-rest.C:
		}
		a.mu.Lock()
		begun := a.holder.BeginStep(a.now(), work)
		a.mu.Unlock()
		if !begun {
			continue
		}
		// A step that outlives the lease makes no progress that counts.
		within, cancel := context.WithDeadline(ctx, time.Now().Add(a.lease))
		err := step(within, act)
		cancel()
		a.mu.Lock()
		a.holder.EndStep(work, err == nil)
		_, still := a.holder.ActiveLeases(a.now())[work]
		a.mu.Unlock()
		if err != nil {
			a.opts.Log.Warn("a step is not done", "name", a.opts.Name, "work", work, "error", err)
		}
		if !still {
			a.beatNow() // it is given back, or over: whoever comes next should not wait
		}
	}
}
