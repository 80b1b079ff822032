package demo

import (
	"context"
	"time"

	"pumiceline/internal/controlplane/coordinator"
)

// Shares of the load period: the times at which coordinators are killed, and the downtime before their restart.
const (
	leaseHolderKillShare = 0.2
	issuerKillShare      = 0.6
	downShare            = 0.15
)

// coordinatorFault kills the coordinator that has a role, and restarts it after a downtime.
type coordinatorFault struct {
	*demo
	role       string // text in progress lines
	hasRole    func(*coordinator.Status) bool
	recordName func(result *Result, name string) // stores the node's name in the result
	killAt     time.Time                         // if no coordinator has the role then, the kill waits for one that gets it
	downtime   time.Duration                     // also the longest wait for a coordinator to get the role

	killed    *node // nil: not yet
	startAt   time.Time
	restarted bool
}

// newFaults returns the faults of a run whose load period starts now.
func (d *demo) newFaults() []*coordinatorFault {
	share := func(of float64) time.Duration { return time.Duration(of * float64(d.opts.LoadPeriod)) }
	now := time.Now()
	return []*coordinatorFault{
		{
			demo: d, role: "holds the controller lease", killAt: now.Add(share(leaseHolderKillShare)), downtime: share(downShare),
			hasRole:    func(s *coordinator.Status) bool { return s.LeaseToken != 0 },
			recordName: func(r *Result, name string) { r.KilledCoordinator = name },
		},
		{
			demo: d, role: "decides the calls of applications", killAt: now.Add(share(issuerKillShare)), downtime: share(downShare),
			hasRole:    func(s *coordinator.Status) bool { return s.Coordination != nil && s.Coordination.IsIssuer },
			recordName: func(r *Result, name string) { r.KilledIssuer = name },
		},
	}
}

// stepIfDue kills or restarts the coordinator if that is due. Otherwise it does nothing.
func (f *coordinatorFault) stepIfDue(ctx context.Context) error {
	now := time.Now()
	switch {
	case f.killed == nil && now.After(f.killAt):
		f.kill(ctx, now)
	case f.killed != nil && !f.restarted && now.After(f.startAt):
		f.restarted = true
		f.killed.FirstStart = false
		f.progress("starting %s again", f.killed.Name)
		return f.startNode(f.killed)
	}
	return nil
}

// kill kills the coordinator that has the role. If none has it, kill returns without effect, until the downtime has
// passed since killAt; from then on it kills the first coordinator.
func (f *coordinatorFault) kill(ctx context.Context, now time.Time) {
	victim, ok := f.coordinatorWhere(ctx, f.hasRole)
	if !ok && now.Before(f.killAt.Add(f.downtime)) {
		return
	}
	if !ok {
		victim = f.nodes[0]
		f.progress("killing %s, though it is not known that it %s", victim.Name, f.role)
	} else {
		f.progress("killing %s, which %s", victim.Name, f.role)
	}
	f.killed, f.startAt = victim, now.Add(f.downtime)
	f.recordName(&f.result, victim.Name)
	victim.process.kill()
}
