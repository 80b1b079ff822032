// Package raftmember is a member of the few that agree on who owns which work. The engine of agreement is go.etcd.io/raft; this package gives it
// a disk, links to the other members and a clock, and puts package ownership on top of it.
//
// Members and instances speak HTTP/1.1 over TCP:
//
//	POST /v1/beat                   an ownership.Beat as JSON; 200 with an ownership.Answer once a quorum has confirmed that this member leads
//	GET  /v1/status                 Status as JSON, from any member
//	GET  /v1/metrics                the same as figures
//	POST /v1/works/{work}/want?who= an operator's wish; 202 once it is proposed
//	POST /v1/works/{work}/free      has the owner of now lose it; 202 once it is proposed
//	POST /v1/hello                  Hello as JSON, from a member that starts; 409 where its disk is older than what it once said
//	POST /v1/raft                   one raftpb.Message; X-Start names the sender's start, and 409 says that a later one of its number is known
//
// Every POST names its fleet in X-Fleet, and who is of another is answered 403: at an address that was another fleet's a moment ago two fleets
// would agree with each other. A member that does not lead answers 503 with the leader's number in X-Leader, if it knows one.
package raftmember

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"pumiceline/internal/singleton"
)

// Options are what a member needs to know.
type Options struct {
	Fleet    string            // the fleet's name
	ID       uint64            // its place among Members, from 1
	Members  map[uint64]string // addresses, its own included
	Dir      string            // for its file
	Settings singleton.Settings
	Log      *slog.Logger
	// CompactFrom is how many entries are carried out between two snapshots; 0: 2,000. A quarter of them stay, for a member that is a little late.
	CompactFrom uint64
}

// Status is what a member knows.
type Status struct {
	ID        uint64                          `json:"id"`
	Leader    uint64                          `json:"leader"` // 0: none is known
	Term      uint64                          `json:"term"`
	Applied   uint64                          `json:"applied"`
	Works     map[string]singleton.Assignment `json:"works"`
	AgeMs     map[string]int64                `json:"age_ms,omitempty"` // since each owner's latest progress; of the leader alone
	Instances []string                        `json:"instances,omitempty"`
	Changes   uint64                          `json:"changes"` // of owners, since this member started
}

// Hello is what a member says of its disk when it starts.
type Hello struct {
	ID uint64 `json:"id"`
	mark
}

// Bounds of what waits. Whatever is over them is lost, as on a network.
const (
	mostInbox  = 1024
	mostOutbox = 256
	mostBody   = 4 << 20
	mostAsking = 4096 // beats that wait for a confirmation

	compactFrom = 2000
)

// Member takes part in the agreement.
type Member struct {
	opts   Options
	store  *store
	nonce  uint64
	tick   time.Duration
	begun  time.Time
	inbox  chan *pb.Message
	calls  chan func()
	failed chan error // that this member must not go on
	peers  map[uint64]*peer
	client *http.Client

	mu      sync.Mutex // of what is known of the others' disks, also while that is written: an older state must not come after a newer one
	marks   map[uint64]mark
	unsaved bool

	// The rest is the loop's own.
	node      *raft.RawNode
	conf      *pb.ConfState
	state     *singleton.State
	applied   uint64
	snapAt    uint64
	term      uint64
	leader    uint64
	arbiter   *singleton.LeaseManager // nil: this member does not lead, or has not applied all that was agreed on before
	asking    []func(led bool)        // wait for the next confirmation
	confirm   map[uint64][]func(led bool)
	confirmAt map[uint64]uint64 // which index has to be applied
	readCount uint64
	changes   uint64
}

type peer struct {
	addr string
	out  chan []byte
}

// Open opens a member's disk. Errors name the folder.
func Open(opts Options) (*Member, error) {
	if err := opts.Settings.Validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if _, there := opts.Members[opts.ID]; !there {
		return nil, fmt.Errorf("quorum: member %d is not among the members", opts.ID)
	}
	if opts.CompactFrom == 0 {
		opts.CompactFrom = compactFrom
	}
	s, err := openStore(opts.Dir)
	if err != nil {
		return nil, err
	}
	m := &Member{opts: opts, store: s, nonce: rand.Uint64(), begun: time.Now(), inbox: make(chan *pb.Message, mostInbox), calls: make(chan func()), failed: make(chan error, 1),
		peers: map[uint64]*peer{}, state: singleton.NewState(), confirm: map[uint64][]func(bool){}, confirmAt: map[uint64]uint64{},
		// Ten ticks without a word from the leader bring an election, which has to be over well within a lease.
		tick:   max(5*time.Millisecond, min(100*time.Millisecond, time.Duration(opts.Settings.LeaseDuration)*time.Microsecond/50)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}}}
	if m.marks, err = s.known(); err != nil {
		s.db.Close()
		return nil, err
	}
	for id, addr := range opts.Members {
		if id != opts.ID {
			m.peers[id] = &peer{addr: addr, out: make(chan []byte, mostOutbox)}
		}
	}
	snap, _ := s.mem.Snapshot() // of a MemoryStorage it never fails
	if !raft.IsEmptySnap(snap) {
		if m.state, err = singleton.DecodeState(snap.GetData()); err != nil {
			s.db.Close()
			return nil, err
		}
		m.applied, m.snapAt, m.conf = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex(), snap.GetMetadata().GetConfState()
	}
	return m, nil
}

// now is the member's clock: it never jumps.
func (m *Member) now() singleton.Time { return singleton.Time(time.Since(m.begun).Microseconds()) }

// Run serves on ln and takes part until ctx ends, or until it can't: then the error says why, and the member must not go on.
func (m *Member) Run(ctx context.Context, ln net.Listener) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	server := &http.Server{Handler: m.handler(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
		ErrorLog: slog.NewLogLogger(m.opts.Log.Handler(), slog.LevelDebug)}
	var running sync.WaitGroup
	running.Go(func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			m.opts.Log.Error("the member no longer listens", "error", err)
			cancel()
		}
	})
	for _, p := range m.peers {
		running.Go(func() { m.send(ctx, p) })
	}
	defer func() {
		cancel()
		server.Close()
		running.Wait()
		m.client.CloseIdleConnections()
		if closed := m.store.db.Close(); err == nil && closed != nil {
			err = fmt.Errorf("quorum: %w", closed)
		}
	}()
	if err := m.introduce(ctx); err != nil || ctx.Err() != nil {
		return err
	}
	if err := m.join(); err != nil {
		return err
	}
	return m.loop(ctx)
}

// introduce tells the others how far this member's disk has come, and waits until so many have let it pass that, with it, they are a
// quorum: what it once acknowledged was acknowledged to them. One that refuses ends it.
func (m *Member) introduce(ctx context.Context) error {
	text, err := json.Marshal(Hello{ID: m.opts.ID, mark: m.store.at(m.nonce)})
	if err != nil {
		return fmt.Errorf("quorum: %w", err)
	}
	passed := map[uint64]bool{}
	every := time.NewTicker(10 * m.tick)
	defer every.Stop()
	for {
		for id, p := range m.peers {
			if passed[id] {
				continue
			}
			status, answer, err := m.post(ctx, time.Now().Add(10*m.tick), p.addr, "/v1/hello", text)
			switch {
			case err == nil && status == http.StatusOK:
				passed[id] = true
			case err == nil && status == http.StatusConflict:
				return fmt.Errorf("quorum: member %d refuses member %d: %s", id, m.opts.ID, answer)
			}
		}
		if 1+len(passed) > len(m.opts.Members)/2 {
			m.opts.Log.Info("a member takes part", "member", m.opts.ID, "start", m.store.boot, "passed", slices.Sorted(maps.Keys(passed)))
			return nil
		}
		m.opts.Log.Warn("a member waits for others to know its disk", "member", m.opts.ID, "passed", slices.Sorted(maps.Keys(passed)))
		select {
		case <-ctx.Done():
			return nil
		case <-every.C:
		}
	}
}

// join makes the engine, with all members from the first entry on.
func (m *Member) join() error {
	var err error
	m.node, err = raft.NewRawNode(&raft.Config{ID: m.opts.ID, ElectionTick: 10, HeartbeatTick: 2, Storage: m.store.mem, Applied: m.applied,
		MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 1 << 20, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, // what a member decided while it led must not count once another leads
		Logger:                    engineLog{m.opts.Log}})
	if err != nil {
		return fmt.Errorf("quorum: %w", err)
	}
	if last, _ := m.store.mem.LastIndex(); last > 0 {
		return nil
	}
	var peers []raft.Peer
	for _, id := range slices.Sorted(maps.Keys(m.opts.Members)) { // in the same order at all: these are the first entries
		peers = append(peers, raft.Peer{ID: id})
	}
	if err := m.node.Bootstrap(peers); err != nil {
		return fmt.Errorf("quorum: %w", err)
	}
	return nil
}

// loop owns the engine.
func (m *Member) loop(ctx context.Context) error {
	ticks := time.NewTicker(m.tick)
	defer ticks.Stop()
	defer m.lost()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticks.C:
			m.node.Tick()
			m.decide()
			if err := m.note(); err != nil {
				return err
			}
		case err := <-m.failed:
			return err
		case msg := <-m.inbox:
			_ = m.node.Step(msg) // an error is a message that fits no more: it is lost
		case call := <-m.calls:
			call()
		}
		m.ask()
		for m.node.HasReady() {
			if err := m.ready(); err != nil {
				return err
			}
		}
	}
	return nil
}

// decide has the arbiter say what is due.
func (m *Member) decide() {
	if m.arbiter != nil {
		m.propose(m.arbiter.Tick(m.now(), m.state)...)
	}
}

// propose puts commands into the log. What is dropped is decided anew at the next tick.
func (m *Member) propose(commands ...singleton.Command) {
	for _, c := range commands {
		text, err := json.Marshal(c)
		if err == nil {
			err = m.node.Propose(text)
		}
		if err != nil {
			m.opts.Log.Debug("a command is dropped", "command", c, "error", err)
		}
	}
}

// ask asks for a confirmation that this member leads, for all who wait for one. One is under way at a time; a lost one is asked for anew.
func (m *Member) ask() {
	if len(m.asking) == 0 || len(m.confirm) > 0 {
		return
	}
	m.readCount++
	m.confirm[m.readCount], m.asking = m.asking, nil
	m.node.ReadIndex(key(m.readCount))
}

// lost tells all who wait for a confirmation that there is none.
func (m *Member) lost() {
	for _, waiting := range m.confirm {
		for _, f := range waiting {
			f(false)
		}
	}
	for _, f := range m.asking {
		f(false)
	}
	clear(m.confirm)
	clear(m.confirmAt)
	m.asking = nil
}

// ready does what the engine wants done: first the disk, then the others, then the state.
func (m *Member) ready() error {
	rd := m.node.Ready()
	if err := m.store.save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
		return err
	}
	if rd.SoftState != nil && (rd.SoftState.Lead != m.leader || rd.SoftState.RaftState != raft.StateLeader) {
		m.lost()
		m.arbiter = nil
		if m.leader != rd.SoftState.Lead {
			m.opts.Log.Info("another member leads", "member", m.opts.ID, "leader", rd.SoftState.Lead, "before", m.leader)
		}
		m.leader = rd.SoftState.Lead
	}
	if t := rd.HardState.GetTerm(); !raft.IsEmptyHardState(rd.HardState) && t != m.term {
		m.term = t
		m.lost()
		m.arbiter = nil
	}
	for _, msg := range rd.Messages {
		m.pass(msg)
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		state, err := singleton.DecodeState(rd.Snapshot.GetData())
		if err != nil {
			return err
		}
		m.state, m.conf = state, rd.Snapshot.GetMetadata().GetConfState()
		m.applied, m.snapAt = rd.Snapshot.GetMetadata().GetIndex(), rd.Snapshot.GetMetadata().GetIndex()
	}
	for _, e := range rd.CommittedEntries {
		if err := m.apply(e); err != nil {
			return err
		}
	}
	for _, r := range rd.ReadStates {
		m.confirmAt[binary.BigEndian.Uint64(r.RequestCtx)] = r.Index
	}
	for n, index := range m.confirmAt {
		if m.applied < index {
			continue
		}
		for _, f := range m.confirm[n] {
			f(true)
		}
		delete(m.confirm, n)
		delete(m.confirmAt, n)
	}
	m.node.Advance(rd)
	if m.applied-m.snapAt >= m.opts.CompactFrom {
		text, err := json.Marshal(m.state)
		if err != nil {
			return fmt.Errorf("quorum: snapshot: %w", err)
		}
		if err := m.store.compact(m.applied, m.opts.CompactFrom/4, m.conf, text); err != nil {
			return err
		}
		m.snapAt = m.applied
	}
	return nil
}

// apply carries out an entry that is agreed on.
func (m *Member) apply(e *pb.Entry) error {
	m.applied = e.GetIndex()
	switch {
	case e.GetType() == pb.EntryType_EntryConfChange:
		cc := &pb.ConfChange{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return fmt.Errorf("quorum: entry %d: %w", e.GetIndex(), err)
		}
		m.conf = m.node.ApplyConfChange(cc)
	case e.GetType() == pb.EntryType_EntryConfChangeV2:
		cc := &pb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return fmt.Errorf("quorum: entry %d: %w", e.GetIndex(), err)
		}
		m.conf = m.node.ApplyConfChange(cc)
	case len(e.GetData()) > 0:
		var c singleton.Command
		if err := json.Unmarshal(e.GetData(), &c); err != nil { // of a newer build: nothing changes at any member that can't read it
			m.opts.Log.Error("an entry can't be read", "index", e.GetIndex(), "error", err)
			break
		}
		before := m.state.Assignments[c.Role]
		if err := m.state.Apply(c); err != nil {
			m.opts.Log.Debug("a command changes nothing", "command", c, "error", err)
			break
		}
		if now := m.state.Assignments[c.Role]; now.Holder != before.Holder || now.Token != before.Token {
			m.changes++
			m.opts.Log.Info("ownership", "work", c.Role, "did", c.Kind, "owner", now.Holder, "token", now.Token, "before", before.Holder, "why", c.Reason)
		}
	}
	// Its own term's first entry: all that was agreed on before is applied. Until now nobody can have been told anything by this member.
	if m.arbiter == nil && m.node.BasicStatus().RaftState == raft.StateLeader && e.GetTerm() == m.node.BasicStatus().GetTerm() {
		m.arbiter = singleton.NewLeaseManager(m.opts.Settings, m.state, m.now())
		m.opts.Log.Info("this member decides who owns what", "member", m.opts.ID, "term", e.GetTerm())
	}
	return nil
}

// pass gives a message to its link. A full link loses it, as a network would.
func (m *Member) pass(msg *pb.Message) {
	p := m.peers[msg.GetTo()]
	text, err := proto.Marshal(msg)
	if p == nil || err != nil {
		return
	}
	if msg.GetType() == pb.MessageType_MsgSnap { // whether it came is seen by what the other says next
		m.node.ReportSnapshot(msg.GetTo(), raft.SnapshotFinish)
	}
	select {
	case p.out <- text:
	default:
		m.node.ReportUnreachable(msg.GetTo())
	}
}

// send carries messages to another member, one at a time, so that they keep their order as long as none is lost.
func (m *Member) send(ctx context.Context, p *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case text := <-p.out:
			if status, answer, _ := m.post(ctx, time.Now().Add(10*m.tick), p.addr, "/v1/raft", text); status == http.StatusConflict {
				select { // anything else is a loss
				case m.failed <- fmt.Errorf("quorum: member %d has been started elsewhere: %s", m.opts.ID, answer):
				default:
				}
			}
		}
	}
}

// post makes a call that is over by a moment.
func (m *Member) post(ctx context.Context, by time.Time, addr, path string, body []byte) (status int, answer string, err error) {
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("X-Fleet", m.opts.Fleet)
	req.Header.Set("X-Start", fmt.Sprintf("%d %d", m.store.boot, m.nonce))
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	return resp.StatusCode, string(bytes.TrimSpace(text)), err
}

// note keeps what was learnt of the others' disks.
func (m *Member) note() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.unsaved {
		return nil
	}
	err := m.store.remember(m.marks)
	m.unsaved = err != nil
	return err
}

// heard learns from a message how far another's disk has come: what it acknowledges and the term in which it speaks are on it. The error is that
// a later start of that member is known: two processes of one number must not both vote.
func (m *Member) heard(msg *pb.Message, boot, nonce uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	was := m.marks[msg.GetFrom()]
	if boot < was.Boot || boot == was.Boot && was.Nonce != nonce {
		return fmt.Errorf("start %d, where start %d is known: %w", boot, was.Boot, errOlder)
	}
	now := was
	now.Boot, now.Nonce = boot, nonce // its hello may have passed without this member
	defer func() {
		if now != was {
			m.marks[msg.GetFrom()] = now
			m.unsaved = m.unsaved || now.Term != was.Term || now.Boot != was.Boot
		}
	}()
	if msg.GetType() == pb.MessageType_MsgPreVote || msg.GetType() == pb.MessageType_MsgPreVoteResp {
		return nil // these name a term that nobody has entered
	}
	if msg.GetTerm() > now.Term {
		now.Term, now.Index = msg.GetTerm(), 0
	}
	if msg.GetType() == pb.MessageType_MsgAppResp && !msg.GetReject() && msg.GetTerm() == now.Term {
		now.Index = max(now.Index, msg.GetIndex())
	}
	return nil
}

// engineLog passes on what the engine says: what it finds worth a warning, and the rest at the level of debugging.
type engineLog struct{ log *slog.Logger }

func (l engineLog) Debug(v ...any)                 { l.log.Debug(fmt.Sprint(v...)) }
func (l engineLog) Debugf(format string, v ...any) { l.log.Debug(fmt.Sprintf(format, v...)) }
func (l engineLog) Info(v ...any)                  { l.log.Debug(fmt.Sprint(v...)) }
func (l engineLog) Infof(format string, v ...any)  { l.log.Debug(fmt.Sprintf(format, v...)) }
func (l engineLog) Warning(v ...any)               { l.log.Warn(fmt.Sprint(v...)) }
func (l engineLog) Warningf(format string, v ...any) {
	l.log.Warn(fmt.Sprintf(format, v...))
}
func (l engineLog) Error(v ...any)                 { l.log.Error(fmt.Sprint(v...)) }
func (l engineLog) Errorf(format string, v ...any) { l.log.Error(fmt.Sprintf(format, v...)) }
func (l engineLog) Fatal(v ...any)                 { l.Panic(v...) }
func (l engineLog) Fatalf(format string, v ...any) { l.Panicf(format, v...) }
func (l engineLog) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (l engineLog) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
