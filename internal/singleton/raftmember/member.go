// Package raftmember implements a member of the small raft group that agrees on the holder of each singleton role. The
// consensus algorithm is go.etcd.io/raft; this package gives it a disk, a transport and a clock, and applies its log to
// a singleton.State.
//
// Members, instances and operators communicate over HTTP/1.1 on TCP:
//
//	POST /v1/beat                   a singleton.Heartbeat as JSON; 200 with a singleton.HeartbeatResponse once a quorum has
//	                                confirmed that this member leads
//	GET  /v1/status                 Status as JSON, from any member
//	GET  /v1/metrics                the same as Prometheus metrics
//	POST /v1/works/{work}/want?who= sets the role's desired holder; 202 once it is proposed
//	POST /v1/works/{work}/free      releases the role's lease; 202 once it is proposed
//	POST /v1/hello                  Hello as JSON, from a member that starts; 409 if its disk is older than what it
//	                                acknowledged earlier
//	POST /v1/raft                   one raftpb.Message; X-Start identifies the sender's start; 409 if a later start of
//	                                its ID is known
//
// Every POST names its fleet in X-Fleet, and a member of another fleet responds 403: otherwise members of two fleets
// would take part in one raft group after an address has moved from one fleet to the other. A member that does not lead
// responds 503, with the leader's ID in X-Leader if known.
//
// Goroutines: the raft loop owns the raft node, the state and the lease manager. HTTP handlers reach them through
// runOnLoop. One goroutine per peer sends the messages that are queued for it. Run waits for all of them.
package raftmember

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"pumiceline/internal/singleton"
)

// Options are the configuration of a member.
type Options struct {
	Fleet   string            // the fleet's name
	ID      uint64            // this member's among Members, from 1
	Members map[uint64]string // addresses by ID, its own included
	Dir     string            // folder of its store
	// VolatileDir is a folder in memory for the mark that proves the store to be the newest when the process starts
	// again. Empty: every other member has to accept each start.
	VolatileDir string
	// TrustDisk makes the member start as if its store were proven to be the newest. It is for an operator who knows
	// that it is, when a member that would have to accept it does not come back.
	TrustDisk bool
	Settings  singleton.Settings
	Log       *slog.Logger
	// SnapshotInterval is the number of entries applied between two snapshots; 0: 2,000. A quarter of that number stays
	// in memory, so that a member that is a little behind needs no snapshot.
	SnapshotInterval uint64
}

// Limits on queues and requests. Messages beyond them are lost, as on a network; heartbeats are answered 503.
const (
	maxReceived          = 1024    // messages for the raft loop
	maxQueuedPerPeer     = 256     // messages to a peer
	maxBodyBytes         = 4 << 20 // of a request
	maxWaitingHeartbeats = 4096    // heartbeats that wait for a leadership check
)

// Snapshots.
const (
	defaultSnapshotInterval = 2000 // entries
	keptIntervalDivisor     = 4    // SnapshotInterval/keptIntervalDivisor entries before a snapshot stay in memory
)

// Connections. The server's idle time-out is longer than the peers', so that a peer does not send on a connection that
// the server is closing.
const (
	maxIdleConnsPerPeer = 4
	peerIdleTimeout     = 10 * time.Second
	readHeaderTimeout   = 5 * time.Second
	serverIdleTimeout   = 30 * time.Second
)

// Timing of raft, in ticks.
const (
	electionTicks  = 10 // time without a message from the leader after which a member starts an election
	heartbeatTicks = 2
	requestTicks   = 10 // time-out of a request to a peer

	ticksPerLease   = 50 // an election takes a few times electionTicks and has to end well within a lease
	minTickInterval = 5 * time.Millisecond
	maxTickInterval = 100 * time.Millisecond
)

// Member is one member of the raft group. Create it with Open and call Run once.
type Member struct {
	opts         Options
	store        *store
	nonce        uint64 // distinguishes this process from another that runs with a copy of its disk
	tickInterval time.Duration
	startedAt    time.Time
	received     chan *pb.Message
	calls        chan func() // to be run by the raft loop
	fatal        chan error  // the error with which Run has to end
	peers        map[uint64]*peer
	client       *http.Client

	mu            sync.Mutex // also held while peerProgress is stored: an older version must not overwrite a newer one
	peerProgress  map[uint64]diskProgress
	progressDirty bool

	// Owned by the raft loop.
	guard         voteGuard
	isCaughtUp    bool // the log has reached the position that the guard requires
	node          *raft.RawNode
	confState     *pb.ConfState
	state         *singleton.State
	applied       uint64 // index of the last applied entry
	snapshotIndex uint64
	term          uint64
	leader        uint64                  // 0: not known
	leaseManager  *singleton.LeaseManager // nil: see startLeaseManagerIfLeading
	checks        leadershipChecks
	holderChanges uint64 // since the start
}

// Open opens a member's store, creating it if there is none, and counts the start. It returns a *singleton.SettingError
// for settings that can't be used, otherwise errors of the file and of its contents.
func Open(opts Options) (*Member, error) {
	if err := opts.Settings.Validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if _, known := opts.Members[opts.ID]; !known {
		return nil, fmt.Errorf("member %d is not among the members", opts.ID)
	}
	if opts.SnapshotInterval == 0 {
		opts.SnapshotInterval = defaultSnapshotInterval
	}
	s, err := openStore(opts.Dir, opts.VolatileDir, opts.Log)
	if err != nil {
		return nil, err
	}
	if opts.TrustDisk {
		s.freshness = freshnessProven
	}
	m := newMember(opts, s)
	if err := m.loadStored(); err != nil {
		s.db.Close()
		return nil, err
	}
	return m, nil
}

func newMember(opts Options, s *store) *Member {
	lease := time.Duration(opts.Settings.LeaseDuration) * time.Microsecond
	m := &Member{
		opts:         opts,
		store:        s,
		nonce:        rand.Uint64(),
		tickInterval: max(minTickInterval, min(maxTickInterval, lease/ticksPerLease)),
		startedAt:    time.Now(),
		received:     make(chan *pb.Message, maxReceived),
		calls:        make(chan func()),
		fatal:        make(chan error, 1),
		peers:        map[uint64]*peer{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerPeer,
			IdleConnTimeout: peerIdleTimeout}},
		state: singleton.NewState(),
	}
	for id, addr := range opts.Members {
		if id != opts.ID {
			m.peers[id] = &peer{addr: addr, queue: make(chan []byte, maxQueuedPerPeer)}
		}
	}
	return m
}

// loadStored loads the peers' progress and the latest snapshot from the store.
func (m *Member) loadStored() (err error) {
	if m.peerProgress, err = m.store.loadPeerProgress(); err != nil {
		return err
	}
	snapshot, _ := m.store.mem.Snapshot() // a MemoryStorage returns no error
	if raft.IsEmptySnap(snapshot) {
		return nil
	}
	return m.restoreSnapshot(snapshot)
}

// now returns the time of the member's clock. It is monotonic.
func (m *Member) now() singleton.Time { return singleton.Time(time.Since(m.startedAt).Microseconds()) }

// Run serves on ln and takes part in the raft group until ctx ends. An error says why the member had to stop by itself:
// its disk failed, a peer refused it (ErrRefused) or it was started elsewhere (ErrStartedElsewhere). It closes ln and
// the store.
func (m *Member) Run(ctx context.Context, ln net.Listener) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	server := &http.Server{Handler: m.handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: serverIdleTimeout,
		ErrorLog: slog.NewLogLogger(m.opts.Log.Handler(), slog.LevelDebug)}
	var running sync.WaitGroup
	running.Go(func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			m.opts.Log.Error("member API stopped", "error", err)
			cancel()
		}
	})
	for _, p := range m.peers {
		running.Go(func() { m.sendQueued(ctx, p) })
	}
	defer func() {
		cancel()
		server.Close()
		running.Wait()
		m.client.CloseIdleConnections()
		if closeErr := m.store.db.Close(); err == nil && closeErr != nil {
			err = fmt.Errorf("close store: %w", closeErr)
		}
	}()
	if err := m.announce(ctx); err != nil || ctx.Err() != nil {
		return err
	}
	if err := m.storeSelfVote(); err != nil {
		return err
	}
	if err := m.startNode(); err != nil {
		return err
	}
	return m.loop(ctx)
}
