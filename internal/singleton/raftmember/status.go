package raftmember

import (
	"context"
	"encoding/json"
	"net/http"

	"pumiceline/internal/singleton"
)

// Status is the state of one member.
type Status struct {
	ID          uint64                          `json:"id"`
	Leader      uint64                          `json:"leader"` // 0: not known
	Term        uint64                          `json:"term"`
	Applied     uint64                          `json:"applied"` // index of the last applied entry
	Assignments map[string]singleton.Assignment `json:"works"`   // by role
	// ProgressAgeMs is the time since each role's holder made progress; at the leader only.
	ProgressAgeMs map[string]int64 `json:"age_ms,omitempty"`
	Instances     []string         `json:"instances,omitempty"` // that sent a heartbeat recently; at the leader only
	HolderChanges uint64           `json:"changes"`             // since this member started
}

// status returns the member's status. It returns false if ctx ended before the raft loop could be read.
func (m *Member) status(ctx context.Context) (Status, bool) {
	s := Status{ID: m.opts.ID, Assignments: map[string]singleton.Assignment{}}
	ok := m.runOnLoop(ctx, func() {
		s.Leader, s.Term, s.Applied, s.HolderChanges = m.leader, m.term, m.applied, m.holderChanges
		for _, role := range m.opts.Settings.Roles {
			s.Assignments[role] = m.state.Assignments[role]
		}
		if m.leaseManager == nil {
			return
		}
		s.Instances, s.ProgressAgeMs = m.leaseManager.Instances(), map[string]int64{}
		for role, a := range s.Assignments {
			if a.Holder != "" {
				s.ProgressAgeMs[role] = int64(m.leaseManager.TimeSinceProgress(m.now(), role)) / 1000
			}
		}
	})
	return s, ok
}

func (m *Member) handleStatus(w http.ResponseWriter, r *http.Request) {
	s, ok := m.status(r.Context())
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s) // fails if the client has disconnected
}
