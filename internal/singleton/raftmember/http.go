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
	"pumiceline/internal/strictjson"
)

// Paths of the member API, besides singleton.HeartbeatPath.
const (
	raftPath            = "/v1/raft"
	helloPath           = "/v1/hello"
	statusPath          = "/v1/status"
	metricsPath         = "/v1/metrics"
	rolesPath           = "/v1/works/" // followed by the role's name and one of the suffixes
	desiredHolderSuffix = "/want"
	releaseSuffix       = "/free"

	instanceQuery = "who" // query parameter: the desired holder
)

const maxInstanceNameBytes = 64

// handler serves requests of members, instances and operators.
func (m *Member) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+raftPath, m.handleRaftMessage)
	mux.HandleFunc("POST "+helloPath, m.handleHello)
	mux.HandleFunc("POST "+singleton.HeartbeatPath, m.handleHeartbeat)
	mux.HandleFunc("GET "+statusPath, m.handleStatus)
	mux.HandleFunc("GET "+metricsPath, m.handleMetrics)
	mux.HandleFunc("POST "+rolesPath+"{role}"+desiredHolderSuffix, m.handleSetDesiredHolder)
	mux.HandleFunc("POST "+rolesPath+"{role}"+releaseSuffix, m.handleRelease)
	return m.requireFleet(mux)
}

// requireFleet rejects POSTs from another fleet.
func (m *Member) requireFleet(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fleet := r.Header.Get(singleton.FleetHeader); r.Method == http.MethodPost && fleet != m.opts.Fleet {
			m.opts.Log.Warn("request of another fleet rejected", "fleet", fleet, "path", r.URL.Path)
			http.Error(w, fmt.Sprintf("this is a member of the fleet %q, not %q", m.opts.Fleet, fleet), http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// handleRaftMessage queues a message for the raft loop. Its response does not say whether the message was processed.
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
	sender, err := parseStartID(r.Header.Get(startHeader))
	if err != nil {
		http.Error(w, "no X-Start", http.StatusBadRequest)
		return
	}
	if err := m.observeMessage(msg, sender); err != nil {
		m.opts.Log.Error("raft message rejected", "member", msg.GetFrom(), "error", err)
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	select {
	case m.received <- msg:
	default: // the queue is full: the message is lost, as on a network
	}
}

// handleHello accepts or rejects a peer that starts. It responds to an accepted peer once the acceptance is on disk.
func (m *Member) handleHello(w http.ResponseWriter, r *http.Request) {
	var h Hello
	if err := strictjson.Decode(r.Body, maxBodyBytes, &h); err != nil || m.peers[h.ID] == nil {
		http.Error(w, "no hello of a member", http.StatusBadRequest)
		return
	}
	if err := m.acceptHello(h); err != nil {
		m.opts.Log.Error("member rejected", "member", h.ID, "error", err)
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	if err := m.persistProgress(); err != nil { // not accepted: after a restart this member would not know of it
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(m.store.stored.Load()) // fails if the peer has disconnected
}

// handleHeartbeat responds once a quorum has confirmed, after the heartbeat was received, that this member still leads.
func (m *Member) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	var heartbeat singleton.Heartbeat
	err := strictjson.Decode(r.Body, maxBodyBytes, &heartbeat)
	if err != nil || heartbeat.Name == "" || len(heartbeat.Name) > maxInstanceNameBytes ||
		len(heartbeat.Leases) > singleton.MaxRoles {
		http.Error(w, "no beat of an instance", http.StatusBadRequest)
		return
	}
	result, ok := m.processHeartbeat(r.Context(), heartbeat)
	switch {
	case !ok: // the client has disconnected
	case !result.isLeader:
		m.rejectAsFollower(w, result.leader)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(result.response) // fails if the client has disconnected
	}
}

// heartbeatResult is the result of processing a heartbeat.
type heartbeatResult struct {
	response singleton.HeartbeatResponse
	isLeader bool   // a quorum has confirmed, after the heartbeat was received, that this member leads; else no response
	leader   uint64 // ID of the leader that this member knows; 0: none
}

// processHeartbeat passes a heartbeat to the lease manager and waits for the leadership check. It returns false if ctx
// ended first.
func (m *Member) processHeartbeat(ctx context.Context, heartbeat singleton.Heartbeat) (result heartbeatResult, ok bool) {
	checked := make(chan bool, 1) // has room for the one result: the raft loop never waits for this goroutine
	if !m.runOnLoop(ctx, func() {
		result.leader = m.leader
		if m.leaseManager == nil || len(m.checks.waiting) >= maxWaitingHeartbeats {
			checked <- false
			return
		}
		var commands []singleton.Command
		commands, result.response = m.leaseManager.HandleHeartbeat(m.now(), heartbeat, m.state)
		m.propose(commands...)
		m.checks.add(func(isLeader bool) { checked <- isLeader })
	}) {
		return result, false
	}
	select {
	case result.isLeader = <-checked:
		return result, true
	case <-ctx.Done():
		return result, false
	}
}

// rejectAsFollower responds that this member does not lead. It names the leader by its ID, as each client may have
// another address for it, such as that of a relay in a fault test.
func (m *Member) rejectAsFollower(w http.ResponseWriter, leader uint64) {
	if leader != 0 && leader != m.opts.ID {
		w.Header().Set(singleton.LeaderHeader, strconv.FormatUint(leader, 10))
	}
	http.Error(w, "this member does not lead", http.StatusServiceUnavailable)
}

func (m *Member) handleSetDesiredHolder(w http.ResponseWriter, r *http.Request) {
	role, instance := r.PathValue("role"), r.URL.Query().Get(instanceQuery)
	m.proposeForOperator(r.Context(), w, role, func(singleton.Assignment) (singleton.Command, error) {
		return singleton.Command{Kind: singleton.CommandSetDesiredHolder, Role: role, Instance: instance,
			Reason: "an operator wants it"}, nil
	})
}

func (m *Member) handleRelease(w http.ResponseWriter, r *http.Request) {
	role := r.PathValue("role")
	m.proposeForOperator(r.Context(), w, role, func(a singleton.Assignment) (singleton.Command, error) {
		if a.Holder == "" {
			return singleton.Command{}, errors.New("nobody owns it")
		}
		return singleton.Command{Kind: singleton.CommandRelease, Role: role, Token: a.Token,
			Reason: "taken away by an operator"}, nil
	})
}

// proposeForOperator proposes the command that build returns for a role's assignment. If build fails, the response is
// 409.
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
