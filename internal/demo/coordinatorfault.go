package demo

import (
	"context"
	"time"

	"pumiceline/internal/controlplane/coordinator"
)

// Shares of the load period: when coordinators are killed, and how long they stay so.
const (
	leaseHolderKillShare = 0.2
	issuerKillShare      = 0.6
	downShare            = 0.15
)

// coordinatorFault kills the coordinator that has a role, and starts it again.
type coordinatorFault struct {
	*demo
	role     string // as the progress shows it
	hasRole  func(*coordinator.Status) bool
	note     func(result *Result, name string) // keeps its name in the result
	killAt   time.Time                         // where none has the role then, the first one that gets it is killed
	downtime time.Duration                     // also how long a kill waits for somebody to have the role

	killed    *node // nil: not yet
	startAt   time.Time
	restarted bool
}

// newFaults returns the faults of a run that begins now.
func (d *demo) newFaults() []*coordinatorFault {
	share := func(of float64) time.Duration { return time.Duration(of * float64(d.opts.LoadPeriod)) }
	now := time.Now()
	return []*coordinatorFault{
		{
			demo: d, role: "holds the controller lease", killAt: now.Add(share(leaseHolderKillShare)), downtime: share(downShare),
			hasRole: func(s *coordinator.Status) bool { return s.LeaseToken != 0 },
			note:    func(r *Result, name string) { r.KilledCoordinator = name },
		},
		{
			demo: d, role: "decides the calls of applications", killAt: now.Add(share(issuerKillShare)), downtime: share(downShare),
			hasRole: func(s *coordinator.Status) bool { return s.Coordination != nil && s.Coordination.IsIssuer },
			note:    func(r *Result, name string) { r.KilledIssuer = name },
		},
	}
}

// step kills or starts the coordinator if that is due, else does nothing.
func (f *coordinatorFault) step(ctx context.Context) error {
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

// kill kills the coordinator that has the role. Where none gets it for too long the first one is killed.
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
	f.note(&f.result, victim.Name)
	victim.process.kill()
}
