package demo

import (
	"context"
	"time"
)

// Shares of the load period after which coordinators are killed and started again.
const (
	leaseHolderKillShare  = 0.15
	leaseHolderStartShare = 0.3
	issuerKillShare       = 0.6
	issuerStartShare      = 0.8
)

// coordinatorFault kills the coordinator that has a role, and starts it again.
type coordinatorFault struct {
	*demo
	role    string                            // as the progress shows it
	find    func(ctx context.Context) *node   // returns the one that has the role now
	note    func(result *Result, name string) // keeps its name in the result
	killAt  time.Time
	startAt time.Time

	killed    *node // nil: not yet
	restarted bool
}

// newFaults returns the faults of a run that begins now.
func (d *demo) newFaults() []*coordinatorFault {
	at := func(share float64) time.Time {
		return time.Now().Add(time.Duration(share * float64(d.opts.LoadPeriod)))
	}
	return []*coordinatorFault{
		{
			demo: d, role: "holds the controller lease", find: d.leaseHolder,
			note:   func(r *Result, name string) { r.KilledCoordinator = name },
			killAt: at(leaseHolderKillShare), startAt: at(leaseHolderStartShare),
		},
		{
			demo: d, role: "decides the calls of applications", find: d.issuer,
			note:   func(r *Result, name string) { r.KilledIssuer = name },
			killAt: at(issuerKillShare), startAt: at(issuerStartShare),
		},
	}
}

// step kills or starts the coordinator if that is due, else does nothing.
func (f *coordinatorFault) step(ctx context.Context) error {
	if f.killed == nil && time.Now().After(f.killAt) {
		f.killed = f.find(ctx)
		f.note(&f.result, f.killed.Name)
		f.progress("killing %s, which %s", f.killed.Name, f.role)
		f.killed.process.kill()
	}
	if f.killed == nil || f.restarted || !time.Now().After(f.startAt) {
		return nil
	}
	f.restarted = true
	f.killed.FirstStart = false
	f.progress("starting %s again", f.killed.Name)
	return f.startNode(f.killed)
}
