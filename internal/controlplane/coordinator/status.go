package coordinator

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/lifecycle"
	"pumiceline/internal/message"
)

// Status is the state of the system as one coordinator knows it. It is the body of GET /status.
type Status struct {
	Node        string                `json:"node"`
	Identity    message.MemberID      `json:"identity"`
	View        message.ViewNumber    `json:"view"`
	Members     []string              `json:"members"` // "identity address" each, in the order of the chain
	Voters      []string              `json:"voters"`  // a majority of them decides on the next view
	IsMember    bool                  `json:"member"`
	HasMajority bool                  `json:"hasMajority"` // a majority confirmed its view within the last 0.8 s
	IsServing   bool                  `json:"serves"`      // it sends configurations to proxies
	WaitingFor  string                `json:"waitsFor"`    // what it waits for before it can take part; empty: nothing
	Sequence    uint64                `json:"sequence"`    // number of changes acknowledged
	Version     configuration.Version `json:"version"`     // the operator's version of the configuration in force
	// ConfigDigest identifies the stored configuration: coordinators and proxies with the same digest apply the same.
	ConfigDigest string `json:"configDigest,omitempty"`
	// ConfigFault is why the configuration in force, which an earlier version accepted, would not be accepted now.
	ConfigFault string               `json:"configFault,omitempty"`
	LeaseHolder string               `json:"leaseHolder"` // internal address; empty: not known
	LeaseToken  message.FencingToken `json:"leaseToken"`  // 0 unless this member holds the lease
	Proxies     int                  `json:"proxies"`
	Backends    int                  `json:"backends"`
	Tasks       []Task               `json:"tasks"` // of placement, at the lease holder
	// List is the state of the list of backends that the coordinator passes on; nil if the coordinator is of a version
	// without it.
	List *discovery.ListStatus `json:"list,omitempty"`
	// OldestListAgeMs is the age of the oldest list that this coordinator and the proxies that poll it have used within
	// the last 5 to 10 s. At the lease holder it includes all others.
	OldestListAgeMs int64 `json:"oldestListAgeMs,omitempty"`
	// Coordination is the coordination of applications; nil if the coordinator is of a version without it.
	Coordination *CoordinationStatus `json:"coordination,omitempty"`
	// Process is what all programs of the system have in their status; nil if the coordinator is of a version without it.
	Process *lifecycle.Status `json:"process,omitempty"`
}

// Task is a placement task that runs at a backend, and its reason.
type Task struct {
	Backend  message.BackendID   `json:"backend"`
	Load     message.ModelName   `json:"load,omitempty"`
	Unload   []message.ModelName `json:"unload,omitempty"`
	Adapters []message.ModelName `json:"adapters,omitempty"`
	Reason   string              `json:"reason"`
}

// taskList is a copy of the controller's running tasks for the status API. The controller sets it. It is safe for
// concurrent use.
type taskList struct{ tasks atomic.Pointer[[]Task] }

func (t *taskList) set(running map[message.BackendID]*runningTask) {
	tasks := lo.MapToSlice(running, func(id message.BackendID, r *runningTask) Task {
		return Task{Backend: id, Load: r.task.Load, Unload: r.task.Unload, Adapters: r.task.LoadAdapters, Reason: r.task.Reason}
	})
	t.tasks.Store(&tasks)
}

func (t *taskList) get() []Task {
	if tasks := t.tasks.Load(); tasks != nil {
		return *tasks
	}
	return nil
}

func (a *operatorAPI) serveStatus(w http.ResponseWriter) {
	status := Status{Node: a.node, Identity: a.loop.self.Identity, Tasks: a.loop.tasks.get()}
	if s := a.loop.snapshot.Load(); s != nil {
		status.View, status.IsMember, status.HasMajority = s.view.Number, s.isMember, s.hasMajority
		status.Members, status.Voters = describeMembers(s.view.Members), describeMembers(s.view.EffectiveVoters())
		status.IsServing, status.WaitingFor = time.Now().Before(s.servingUntil), s.waitingFor
		status.LeaseHolder, status.LeaseToken = s.leaseHolder, s.leaseToken
		status.Sequence, status.Version = s.sequence, s.version
		shown := a.shown.of(s.document)
		status.ConfigDigest, status.ConfigFault = shown.digest, shown.fault
	}
	if a.loop.coordination != nil {
		status.Coordination = a.loop.coordination.describe()
	}
	status.Proxies = a.loop.hub.Proxies()
	list := a.loop.hub.Monitor().Status(time.Now())
	status.List = &list
	status.OldestListAgeMs = a.loop.hub.OldestListAge().Milliseconds()
	if list := a.loop.hub.Backends(); list.IsKnown() {
		status.Backends = len(list.Backends)
	}
	status.Process = describeProcess(a.process, a.loop.writer)
	writeStatus(w, &status)
}

// describeProcess returns the status that all programs share. A write of the state that stalls counts as a wait.
func describeProcess(process *lifecycle.Process, writer *stateWriter) *lifecycle.Status {
	if process == nil {
		return nil
	}
	status := process.Status()
	if writer != nil && writer.isStalled() {
		status.Waits = append(status.Waits, lifecycle.Wait{Condition: "a write to the state folder"})
	}
	return &status
}

func writeStatus(w http.ResponseWriter, status *Status) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // a client that has disconnected asks again
}

func describeMembers(members []message.Member) []string {
	return lo.Map(members, func(m message.Member, _ int) string { return string(m.Identity) + " " + m.Address })
}
