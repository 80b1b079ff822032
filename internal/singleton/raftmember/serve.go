package raftmember

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"google.golang.org/protobuf/proto"

	pb "go.etcd.io/raft/v3/raftpb"

	"pumiceline/internal/singleton"
)

// handler answers members, instances and operators.
func (m *Member) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/raft", m.takeMessage)
	mux.HandleFunc("POST /v1/hello", m.takeHello)
	mux.HandleFunc("POST /v1/beat", m.takeBeat)
	mux.HandleFunc("GET /v1/status", m.tellStatus)
	mux.HandleFunc("GET /v1/metrics", m.tellMetrics)
	mux.HandleFunc("POST /v1/works/{work}/want", func(w http.ResponseWriter, r *http.Request) {
		m.operator(w, r, func(work string, _ singleton.Assignment) (singleton.Command, error) {
			return singleton.Command{Kind: singleton.CommandSetDesiredHolder, Role: work, Instance: r.URL.Query().Get("who"), Reason: "an operator wants it"}, nil
		})
	})
	mux.HandleFunc("POST /v1/works/{work}/free", func(w http.ResponseWriter, r *http.Request) {
		m.operator(w, r, func(work string, now singleton.Assignment) (singleton.Command, error) {
			if now.Holder == "" {
				return singleton.Command{}, errors.New("nobody owns it")
			}
			return singleton.Command{Kind: singleton.CommandRelease, Role: work, Token: now.Token, Reason: "taken away by an operator"}, nil
		})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if of := r.Header.Get("X-Fleet"); r.Method == http.MethodPost && of != m.opts.Fleet {
			m.opts.Log.Warn("a call of another fleet is refused", "fleet", of, "path", r.URL.Path)
			http.Error(w, fmt.Sprintf("this is a member of the fleet %q, not %q", m.opts.Fleet, of), http.StatusForbidden)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// do has f called by the loop and waits for that; false: the loop has not begun or is over.
func (m *Member) do(r *http.Request, f func()) bool {
	done := make(chan struct{})
	select {
	case m.calls <- func() { f(); close(done) }:
		<-done
		return true
	case <-r.Context().Done():
		return false
	}
}

func (m *Member) takeMessage(w http.ResponseWriter, r *http.Request) {
	msg := &pb.Message{}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody))
	if err == nil {
		err = proto.Unmarshal(text, msg)
	}
	if err != nil || m.peers[msg.GetFrom()] == nil || msg.GetTo() != m.opts.ID {
		http.Error(w, "no message from a member to this one", http.StatusBadRequest)
		return
	}
	var boot, nonce uint64
	if _, err := fmt.Sscan(r.Header.Get("X-Start"), &boot, &nonce); err != nil {
		http.Error(w, "no X-Start", http.StatusBadRequest)
		return
	}
	if err := m.heard(msg, boot, nonce); err != nil {
		m.opts.Log.Error("a member's message is refused", "member", msg.GetFrom(), "error", err)
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	select {
	case m.inbox <- msg:
	default: // lost
	}
}

func (m *Member) takeHello(w http.ResponseWriter, r *http.Request) {
	var h Hello
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostBody)).Decode(&h); err != nil || m.peers[h.ID] == nil {
		http.Error(w, "no hello of a member", http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	was := m.marks[h.ID]
	err := was.check(h.mark)
	if err == nil {
		m.marks[h.ID], m.unsaved = h.mark, true
	}
	m.mu.Unlock()
	if err != nil {
		m.opts.Log.Error("a member is refused", "member", h.ID, "error", err)
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	if err := m.note(); err != nil { // it would not be remembered
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// elsewhere says that another member leads.
func (m *Member) elsewhere(w http.ResponseWriter, leader uint64) {
	if leader != 0 && leader != m.opts.ID {
		w.Header().Set("X-Leader", strconv.FormatUint(leader, 10)) // its address may differ from caller to caller
	}
	http.Error(w, "this member does not lead", http.StatusServiceUnavailable)
}

func (m *Member) takeBeat(w http.ResponseWriter, r *http.Request) {
	var b singleton.Heartbeat
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostBody)).Decode(&b); err != nil || b.Name == "" || len(b.Name) > 64 ||
		len(b.Leases) > singleton.MaxRoles {
		http.Error(w, "no beat of an instance", http.StatusBadRequest)
		return
	}
	var answer singleton.HeartbeatResponse
	var leader uint64
	confirmed := make(chan bool, 1)
	if !m.do(r, func() {
		leader = m.leader
		if m.arbiter == nil || len(m.asking) >= mostAsking {
			confirmed <- false
			return
		}
		var commands []singleton.Command
		commands, answer = m.arbiter.HandleHeartbeat(m.now(), b, m.state)
		m.propose(commands...)
		m.asking = append(m.asking, func(led bool) { confirmed <- led })
	}) {
		return
	}
	select {
	case led := <-confirmed:
		if !led {
			m.elsewhere(w, leader)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	case <-r.Context().Done():
	}
}

// status is what this member knows; false: the caller has gone, or the loop is over.
func (m *Member) status(r *http.Request) (Status, bool) {
	s := Status{ID: m.opts.ID, Works: map[string]singleton.Assignment{}}
	ok := m.do(r, func() {
		s.Leader, s.Term, s.Applied, s.Changes = m.leader, m.term, m.applied, m.changes
		for _, name := range m.opts.Settings.Roles {
			s.Works[name] = m.state.Assignments[name]
		}
		if m.arbiter != nil {
			s.Instances, s.AgeMs = m.arbiter.Instances(), map[string]int64{}
			for name, w := range s.Works {
				if w.Holder != "" {
					s.AgeMs[name] = int64(m.arbiter.TimeSinceProgress(m.now(), name)) / 1000
				}
			}
		}
	})
	return s, ok
}

func (m *Member) tellStatus(w http.ResponseWriter, r *http.Request) {
	s, ok := m.status(r)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s)
}

func (m *Member) operator(w http.ResponseWriter, r *http.Request, make func(string, singleton.Assignment) (singleton.Command, error)) {
	work := r.PathValue("work")
	var leads, known bool
	var leader uint64
	var err error
	if !m.do(r, func() {
		leader, leads = m.leader, m.arbiter != nil
		for _, name := range m.opts.Settings.Roles {
			known = known || name == work
		}
		if !leads || !known {
			return
		}
		var c singleton.Command
		if c, err = make(work, m.state.Assignments[work]); err == nil {
			m.propose(c)
		}
	}) {
		return
	}
	switch {
	case !leads:
		m.elsewhere(w, leader)
	case !known:
		http.Error(w, "there is no such work", http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		w.WriteHeader(http.StatusAccepted)
	}
}
