package raftmember

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"pumiceline/internal/singleton"
)

const maxInstanceNameBytes = 64

// handler serves members, instances and operators.
func (m *Member) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/raft", m.handleRaftMessage)
	mux.HandleFunc("POST /v1/hello", m.handleHello)
	mux.HandleFunc("POST /v1/beat", m.handleHeartbeat)
	mux.HandleFunc("GET /v1/status", m.handleStatus)
	mux.HandleFunc("GET /v1/metrics", m.handleMetrics)
	mux.HandleFunc("POST /v1/works/{work}/want", m.handleSetDesiredHolder)
	mux.HandleFunc("POST /v1/works/{work}/free", m.handleRelease)
	return m.requireFleet(mux)
}

// requireFleet rejects POSTs of another fleet.
func (m *Member) requireFleet(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fleet := r.Header.Get(fleetHeader); r.Method == http.MethodPost && fleet != m.opts.Fleet {
			m.opts.Log.Warn("request of another fleet rejected", "fleet", fleet, "path", r.URL.Path)
			http.Error(w, fmt.Sprintf("this is a member of the fleet %q, not %q", m.opts.Fleet, fleet), http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (m *Member) handleRaftMessage(w http.ResponseWriter, r *http.Request) {
	msg := &pb.Message{}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = proto.Unmarshal(text, msg)
	}
	if err != nil || m.peers[msg.GetFrom()] == nil || msg.GetTo() != m.opts.ID {
		http.Error(w, "no message from a member to this one", http.StatusBadRequest)
		return
	}
	var startCount, nonce uint64
	if _, err := fmt.Sscan(r.Header.Get(startHeader), &startCount, &nonce); err != nil {
		http.Error(w, "no X-Start", http.StatusBadRequest)
		return
	}
	if err := m.observeMessage(msg, startCount, nonce); err != nil {
		m.opts.Log.Error("raft message rejected", "member", msg.GetFrom(), "error", err)
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	select {
	case m.received <- msg:
	default: // lost
	}
}

func (m *Member) handleHello(w http.ResponseWriter, r *http.Request) {
	var h Hello
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&h); err != nil || m.peers[h.ID] == nil {
		http.Error(w, "no hello of a member", http.StatusBadRequest)
		return
	}
	if err := m.acceptHello(h); err != nil {
		m.opts.Log.Error("member rejected", "member", h.ID, "error", err)
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	if err := m.persistProgress(); err != nil { // it would be forgotten at the next start
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func (m *Member) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	var heartbeat singleton.Heartbeat
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&heartbeat)
	if err != nil || heartbeat.Name == "" || len(heartbeat.Name) > maxInstanceNameBytes ||
		len(heartbeat.Leases) > singleton.MaxRoles {
		http.Error(w, "no beat of an instance", http.StatusBadRequest)
		return
	}
	var response singleton.HeartbeatResponse
	var leader uint64
	checked := make(chan bool, 1)
	if !m.runOnLoop(r.Context(), func() {
		leader = m.leader
		if m.leaseManager == nil || len(m.checks.waiting) >= maxWaitingReads {
			checked <- false
			return
		}
		var commands []singleton.Command
		commands, response = m.leaseManager.HandleHeartbeat(m.now(), heartbeat, m.state)
		m.propose(commands...)
		m.checks.add(func(isLeader bool) { checked <- isLeader })
	}) {
		return
	}
	select {
	case isLeader := <-checked:
		if !isLeader {
			m.rejectAsFollower(w, leader)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response) // a client that has gone needs none
	case <-r.Context().Done():
	}
}

// rejectAsFollower answers that another member leads. It names the leader by its ID: the address may differ from client to
// client.
func (m *Member) rejectAsFollower(w http.ResponseWriter, leader uint64) {
	if leader != 0 && leader != m.opts.ID {
		w.Header().Set(leaderHeader, strconv.FormatUint(leader, 10))
	}
	http.Error(w, "this member does not lead", http.StatusServiceUnavailable)
}

func (m *Member) handleSetDesiredHolder(w http.ResponseWriter, r *http.Request) {
	role, instance := r.PathValue("work"), r.URL.Query().Get("who")
	m.proposeForOperator(r.Context(), w, role, func(singleton.Assignment) (singleton.Command, error) {
		return singleton.Command{Kind: singleton.CommandSetDesiredHolder, Role: role, Instance: instance,
			Reason: "an operator wants it"}, nil
	})
}

func (m *Member) handleRelease(w http.ResponseWriter, r *http.Request) {
	role := r.PathValue("work")
	m.proposeForOperator(r.Context(), w, role, func(a singleton.Assignment) (singleton.Command, error) {
		if a.Holder == "" {
			return singleton.Command{}, errors.New("nobody owns it")
		}
		return singleton.Command{Kind: singleton.CommandRelease, Role: role, Token: a.Token,
			Reason: "taken away by an operator"}, nil
	})
}

// proposeForOperator proposes the command that build makes of a role's assignment. An error of build is answered 409.
func (m *Member) proposeForOperator(ctx context.Context, w http.ResponseWriter, role string,
	build func(singleton.Assignment) (singleton.Command, error)) {
	isKnown := slices.Contains(m.opts.Settings.Roles, role)
	var isLeader bool
	var leader uint64
	var buildErr error
	if !m.runOnLoop(ctx, func() {
		leader, isLeader = m.leader, m.leaseManager != nil
		if !isLeader || !isKnown {
			return
		}
		var c singleton.Command
		if c, buildErr = build(m.state.Assignments[role]); buildErr == nil {
			m.propose(c)
		}
	}) {
		return
	}
	switch {
	case !isLeader:
		m.rejectAsFollower(w, leader)
	case !isKnown:
		http.Error(w, "there is no such work", http.StatusNotFound)
	case buildErr != nil:
		http.Error(w, buildErr.Error(), http.StatusConflict)
	default:
		w.WriteHeader(http.StatusAccepted)
	}
}
