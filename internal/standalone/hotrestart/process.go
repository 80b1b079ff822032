// Package hotrestart coordinates the processes of one proxy while a new version takes over from an old one. Both accept
// connections from one listening socket, which the platform passes to each of them. They find each other by presence
// files in a shared folder, divide the limits of the machine and the quotas of the proxy between them, and the old
// process publishes what its policy has learned, so that the new one does not start cold.
//
// process.go has the Process, presence.go the presence files, learned_state.go the policy's learned state,
// shared_folder.go the folder, inherited_listener.go the socket.
//
// Old and new versions of the program run side by side, so the names and formats of the files must not change.
package hotrestart

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

// PollInterval is how often a process publishes its state and reads that of the others.
const PollInterval = 50 * time.Millisecond

// memoryLimitFraction is the fraction of a process's memory that is set as the garbage collector's limit. The rest is
// for memory that the Go runtime does not account for, such as socket buffers of the kernel.
const memoryLimitFraction = 0.7

// SocketUsage is the number of sockets to clients and to backends that one or more processes have open.
type SocketUsage struct{ Clients, Backends int }

// Hooks connect a Process to the rest of the program. Poll calls them with the Process locked, so they must not call
// Poll.
type Hooks struct {
	SocketUsage func() SocketUsage // of this process
	// ShareQuotas is called at each poll with the number of processes that have requests, this one included.
	ShareQuotas func(processes int) error
	Policy      Policy // its learned state is published and adopted
}

// Process represents this process among the processes of one proxy. They share the memory equally. Sockets are not
// shared equally: each process may use the sockets that the others leave unused, because clients move from the old
// process to the new one.
type Process struct {
	folder   *SharedFolder
	presence *Presence // nil: not joined, so other processes are not visible
	memoryMB int       // limit of all processes together
	hooks    Hooks
	log      *slog.Logger

	stage       atomic.Int32                // a Stage
	peerSockets atomic.Pointer[SocketUsage] // at the last poll; nil: none yet

	mu        sync.Mutex // serializes Poll, which package server also calls while Run is running
	processes int        // at the last poll
}

// NewProcess returns a process that is Starting and has not joined. memoryMB is the limit of all processes of the proxy
// together. If folder is nil, the process never sees others.
func NewProcess(folder *SharedFolder, memoryMB int, log *slog.Logger) *Process {
	p := &Process{folder: folder, memoryMB: memoryMB, log: log}
	p.SetStage(Starting)
	return p
}

// Join makes this process visible to others and the others to it. Call it before Connect. Without a folder it does
// nothing.
func (p *Process) Join() error {
	if p.folder == nil {
		return nil
	}
	presence, err := p.folder.Join()
	if err != nil {
		return err
	}
	p.presence = presence
	return nil
}

// Leave undoes Join.
func (p *Process) Leave() {
	if p.presence != nil {
		p.presence.Leave()
	}
}

// Connect sets the hooks. Call it once, before the first Poll.
func (p *Process) Connect(hooks Hooks) { p.hooks = hooks }

// SetStage sets the stage that the next poll publishes.
func (p *Process) SetStage(stage Stage) { p.stage.Store(int32(stage)) }

// PeerSockets returns how many sockets the other processes held at the last poll.
func (p *Process) PeerSockets() SocketUsage {
	if sockets := p.peerSockets.Load(); sockets != nil {
		return *sockets
	}
	return SocketUsage{}
}

// HasServingPeer reports whether another process accepts connections now.
func (p *Process) HasServingPeer() bool {
	if p.presence == nil {
		return false
	}
	for _, peer := range p.presence.Peers() {
		if peer.Stage == Serving {
			return true
		}
	}
	return false
}

// Run polls until ctx ends. It returns at once if this process has not joined.
func (p *Process) Run(ctx context.Context) {
	if p.presence == nil {
		return
	}
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.Poll()
		}
	}
}

// Poll publishes the state of this process, reads those of the others, and adapts limits and quotas to them.
func (p *Process) Poll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.poll(); err != nil {
		p.log.Error("hot restart poll failed", "error", err)
	}
}

// poll is Poll with mu held.
func (p *Process) poll() error {
	peers, err := p.exchangeStates()
	if err != nil {
		return err
	}
	p.peerSockets.Store(&peers.sockets)
	if peers.starting && Stage(p.stage.Load()) == Serving {
		if err := p.publishLearnedState(); err != nil {
			return err
		}
	}
	p.shareMemory(1 + peers.processes)
	return p.hooks.ShareQuotas(1 + peers.withRequests)
}

// peerSummary is the state of the other processes together.
type peerSummary struct {
	processes    int
	withRequests int  // processes that are past Starting, so may have requests
	starting     bool // a process is Starting
	sockets      SocketUsage
}

// exchangeStates publishes the state of this process and returns that of the others.
func (p *Process) exchangeStates() (peerSummary, error) {
	var peers peerSummary
	if p.presence == nil {
		return peers, nil
	}
	own := p.hooks.SocketUsage()
	err := p.presence.Set(ProcessState{Stage: Stage(p.stage.Load()), ClientSockets: uint32(own.Clients),
		BackendConnections: uint32(own.Backends)})
	if err != nil {
		return peers, err
	}
	for _, peer := range p.presence.Peers() {
		peers.processes++
		peers.sockets.Clients += int(peer.ClientSockets)
		peers.sockets.Backends += int(peer.BackendConnections)
		if peer.Stage == Starting {
			peers.starting = true
		} else {
			peers.withRequests++
		}
	}
	return peers, nil
}

// shareMemory sets this process's memory limit when the number of processes has changed. When the number has grown, it
// also returns unused memory to the system for the new process.
func (p *Process) shareMemory(processes int) {
	if processes == p.processes {
		return
	}
	SetMemoryLimit(p.memoryMB, processes)
	if processes > p.processes {
		debug.FreeOSMemory()
	}
	p.processes = processes
}

// SetMemoryLimit sets the garbage collector's limit for one of several processes that share memoryMB.
func SetMemoryLimit(memoryMB, processes int) {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memoryMB) * (1 << 20) / float64(processes)))
}
