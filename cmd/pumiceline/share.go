package main

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/hotrestart"
)

// shareEvery is how often a process looks whether it is alone.
const shareEvery = 50 * time.Millisecond

// sharing is what a process leaves to another of the same proxy while two are there. Of memory each has its part; of sockets
// each may use what the other doesn't, since they move from one to the other as clients do.
type sharing struct {
	presence *hotrestart.Presence // nil: it is alone
	memoryMB int
	counts   func() (fronts, connections int) // that this process holds
	budgets  func(working int) error          // told how many processes take or have requests
	folder   *hotrestart.Folder
	plan     *engine.Engine
	log      *slog.Logger

	at      atomic.Int32 // this process's handover.Stage
	mu      sync.Mutex   // held by look, which the start calls beside run
	present int          // as last seen
	held    atomic.Uint64
}

// others is how many front sockets and connections to destinations the other processes hold.
func (s *sharing) others() (fronts, connections int) {
	held := s.held.Load()
	return int(held >> 32), int(uint32(held))
}

// look tells of this process, and finds out who else is there. Limits of the machine are shared with whoever is there; budgets
// of requests only with one that has any.
func (s *sharing) look() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	present, working, held, starting := 1, 1, uint64(0), false
	if s.presence != nil {
		fronts, connections := s.counts()
		err := s.presence.Set(hotrestart.State{Stage: hotrestart.Stage(s.at.Load()), Fronts: uint32(fronts), Connections: uint32(connections)})
		if err != nil {
			return err
		}
		for _, o := range s.presence.Others() {
			present++
			held += uint64(o.Fronts)<<32 + uint64(o.Connections)
			if o.Stage != hotrestart.Starting {
				working++
			} else {
				starting = true
			}
		}
	}
	s.held.Store(held)
	if starting && hotrestart.Stage(s.at.Load()) == hotrestart.Serving {
		if err := s.teach(); err != nil {
			return err
		}
	}
	if present != s.present {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.memoryMB) * (1 << 20) / float64(present)))
		if present > s.present {
			debug.FreeOSMemory()
		}
		s.present = present
	}
	return s.budgets(working)
}

// learntFile is where the process that serves writes what it has learnt while another is starting, with learntVersion before it;
// what is older than learntFresh is of no use.
const (
	learntFile    = "learnt.json"
	learntVersion = "pumiceline learnt 1\n"
	learntFresh   = 2 * time.Second
)

func (s *sharing) teach() error {
	text, err := s.plan.Snapshot()
	if err != nil || text == nil {
		return err
	}
	return s.folder.Update(learntFile, func([]byte) ([]byte, error) { return append([]byte(learntVersion), text...), nil })
}

// learn takes over what the process that has served so far knows. Nothing, or nothing that can be believed, means a cold start.
func (s *sharing) learn() {
	if s.presence == nil {
		return
	}
	text, err := s.folder.Read(learntFile)
	if err == nil && text == nil {
		return
	}
	if err == nil {
		body, ok := bytes.CutPrefix(text, []byte(learntVersion))
		if err = errors.New("another version wrote it"); ok {
			err = s.plan.Restore(body, learntFresh)
		}
	}
	if err != nil {
		s.log.Info("starting cold: what another process has learnt is of no use", "reason", err)
		return
	}
	s.log.Info("starting warm, with what the process before has learnt")
}

// successor says whether another process takes connections.
func (s *sharing) successor() bool {
	if s.presence == nil {
		return false
	}
	for _, o := range s.presence.Others() {
		if o.Stage == hotrestart.Serving {
			return true
		}
	}
	return false
}

// run looks until ctx ends.
func (s *sharing) run(ctx context.Context, look func()) {
	again := time.NewTicker(shareEvery)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-again.C:
			look()
		}
	}
}
