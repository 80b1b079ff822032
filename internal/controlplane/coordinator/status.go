package coordinator

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// Status is how a coordinator sees the system; it is for operators.
type Status struct {
	Node        string   `json:"node"`
	Identity    string   `json:"identity"`
	View        uint64   `json:"view"`
	Members     []string `json:"members"` // in the order of the chain
	Voters      []string `json:"voters"`  // a majority of them decides on the next view
	Member      bool     `json:"member"`
	HasMajority bool     `json:"hasMajority"` // a majority confirmed its view a moment ago
	Serves      bool     `json:"serves"`      // it hands out configurations to proxies
	WaitsFor    string   `json:"waitsFor"`    // what keeps it from taking part; empty: nothing
	Sequence    uint64   `json:"sequence"`    // changes taken
	Version     uint64   `json:"version"`     // the operator's version in force
	LeaseHolder string   `json:"leaseHolder"`
	LeaseToken  uint64   `json:"leaseToken"` // 0 where another member holds it
	Proxies     int      `json:"proxies"`
	Backends    int      `json:"backends"`
	Tasks       []Task   `json:"tasks"` // of placement, at the lease holder
}

// Task is what a backend is being ordered, and why.
type Task struct {
	Backend  message.BackendID   `json:"backend"`
	Load     message.ModelName   `json:"load,omitempty"`
	Unload   []message.ModelName `json:"unload,omitempty"`
	Adapters []message.ModelName `json:"adapters,omitempty"`
	Reason   string              `json:"reason"`
}

// taskBoard shows the controller's tasks to whoever asks.
type taskBoard struct{ tasks atomic.Pointer[[]Task] }

func (b *taskBoard) set(running map[message.BackendID]*runningTask) {
	tasks := lo.MapToSlice(running, func(id message.BackendID, r *runningTask) Task {
		return Task{Backend: id, Load: r.task.Load, Unload: r.task.Unload, Adapters: r.task.Adapters, Reason: r.task.Reason}
	})
	b.tasks.Store(&tasks)
}

func (b *taskBoard) get() []Task {
	if tasks := b.tasks.Load(); tasks != nil {
		return *tasks
	}
	return nil
}

func describe(members []message.Member) []string {
	return lo.Map(members, func(m message.Member, _ int) string { return m.Identity + " " + m.Address })
}

// serveStatus answers GET /status.
func (a *api) serveStatus(w http.ResponseWriter) {
	status := Status{Node: a.node, Identity: a.owner.self.Identity, Tasks: a.owner.tasks.get()}
	if s := a.owner.standing.Load(); s != nil {
		status.View, status.Member, status.HasMajority = s.view.Number, s.member, s.hasMajority
		status.Members, status.Voters = describe(s.view.Members), describe(s.view.EffectiveVoters())
		status.Serves, status.WaitsFor = time.Now().Before(s.servesUntil), s.waitsFor
		status.LeaseHolder, status.LeaseToken = s.holder, s.token
		status.Sequence, status.Version = s.sequence, s.version
	}
	status.Proxies = a.owner.hub.Proxies()
	if table := a.owner.hub.Table(); table.IsKnown() {
		status.Backends = len(table.Backends)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // a caller that has gone asks again
}
