package clustertest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"

	"pumiceline/internal/ctxtime"
	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/faulttest"
)

// Options are the parameters of a run.
type Options struct {
	Seed        uint64 // of the faults
	Members     int    // 1, 3, 5 or 7
	Instances   int
	Roles       int
	Lease       time.Duration
	FaultPeriod time.Duration // how long faults are injected
	Unfenced    bool          // the recorder accepts stale effects too: the checker must find violations
}

// Result is the outcome of a run. Its JSON form is stored.
type Result struct {
	Seed           uint64             `json:"seed"`
	Violations     int                `json:"harms"` // see fakestandalone.FindViolations
	FirstViolation string             `json:"first,omitempty"`
	Linearizable   bool               `json:"linearizable"` // see isLinearizable
	Accepted       int                `json:"taken"`        // effects
	Rejected       int                `json:"late_refused"`
	HolderChanges  int                `json:"hand_overs"`
	LongestGapS    map[string]float64 `json:"longest_gap_s"` // by role, in seconds between two accepted effects
	RecoveryS      float64            `json:"owned_again_s"` // in seconds from the last fault's end until all roles are held
	Failures       []string           `json:"why,omitempty"` // why the run failed; empty: it passed
	History        []faulttest.Event  `json:"history,omitempty"`
}

// LongestGap is the longest gap of all roles, in seconds.
func (r *Result) LongestGap() (longest float64) {
	for _, gap := range r.LongestGapS {
		longest = max(longest, gap)
	}
	return longest
}

const (
	startTimeout = 30 * time.Second // until all roles are held
	// recoveryLeases limits the time from the last fault's end until every role is held again, in lease durations. The
	// time allows for the expiry of a lease, the penalty of an instance with several expirations, and an election.
	recoveryLeases = 12
	// A fault lasts between minFaultLeases lease durations and faultLeasesSpread more: some end before a lease expires.
	minFaultLeases    = 0.3
	faultLeasesSpread = 2.5
	// seedStream is the second half of the generator's seed. Another value changes the faults that a seed draws.
	seedStream = 27
)

// clockRates are the rates from which those of the instances' clocks are drawn. They deviate from 1 by less than the
// drift that the fleet file allows.
var clockRates = []float64{1, 1, 0.85, 1.15}

// Run runs a cluster of processes of the program, with faults drawn from the seed, and checks the accepted effects. It
// returns an error if the harness fails; Result.Failures describes the failures of the cluster.
func Run(program string, opts *Options) (*Result, error) {
	result := &Result{Seed: opts.Seed, LongestGapS: map[string]float64{}}
	var roles []string
	for i := range opts.Roles {
		roles = append(roles, fmt.Sprint("work-", i+1))
	}
	c, err := newCluster(clusterOptions{program: program, members: opts.Members, lease: opts.Lease, roles: roles,
		unfenced: opts.Unfenced})
	defer c.close()
	if err != nil {
		return result, err
	}
	random := rand.New(rand.NewPCG(opts.Seed, seedStream))
	if err := c.startAll(opts, random); err != nil {
		return result, err
	}
	if !waitFor(time.Now().Add(startTimeout), func() bool { return c.allHeldSince(time.Time{}) }) {
		result.Failures = append(result.Failures, fmt.Sprintf("not all roles were held within %v of the start", startTimeout))
		result.History = c.History()
		return result, nil
	}
	reads := make(chan []porcupine.Operation, 1)
	watchCtx, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	go func() { reads <- c.watchRecorder(watchCtx) }()
	c.injectFaults(&faultInjector{cluster: c, rand: random, members: opts.Members, instances: opts.Instances}, opts)
	c.awaitRecovery(result)
	c.check(result)
	stopWatching()
	if result.Linearizable, err = c.isLinearizable(<-reads); err != nil {
		return result, err
	}
	if !result.Linearizable {
		result.Failures = append(result.Failures, "the histories of the instances are not linearizable")
	}
	result.History = c.History()
	return result, nil
}

// startAll starts members and instances, and draws the rates of the instances' clocks.
func (c *cluster) startAll(opts *Options, random *rand.Rand) error {
	for i := range opts.Members {
		if err := c.startMember(i); err != nil {
			return err
		}
	}
	for i := range opts.Instances {
		c.clockRates[instanceName(i)] = clockRates[random.IntN(len(clockRates))]
		if err := c.startInstance(i); err != nil {
			return err
		}
	}
	return nil
}

// allHeldSince reports whether an effect of every role was accepted after a time.
func (c *cluster) allHeldSince(since time.Time) bool {
	for _, role := range c.roles {
		if !c.lastAccepted(role).At.After(since) {
			return false
		}
	}
	return true
}

// injectFaults injects one fault after the other for the fault period, with a pause of at most one lease after each
// fault.
func (c *cluster) injectFaults(f *faultInjector, opts *Options) {
	ctx, cancel := context.WithTimeout(context.Background(), opts.FaultPeriod)
	defer cancel()
	for ctx.Err() == nil {
		end := f.inject()
		_ = ctxtime.Sleep(ctx, f.leases(minFaultLeases, faultLeasesSpread)) // an error is the end of the period
		end()
		_ = ctxtime.Sleep(ctx, f.leases(0, 1))
	}
}

// awaitRecovery waits until all roles are held again after the last fault.
func (c *cluster) awaitRecovery(result *Result) {
	lastFault := time.Now()
	c.Record("script", "the last fault is over")
	if !waitFor(lastFault.Add(recoveryLeases*c.lease), func() bool { return c.allHeldSince(lastFault) }) {
		result.Failures = append(result.Failures,
			fmt.Sprintf("not all roles were held again %d leases after the last fault", recoveryLeases))
	}
	result.RecoveryS = time.Since(lastFault).Seconds()
}

// check checks the effects that the recorder accepted, in its order.
func (c *cluster) check(result *Result) {
	accepted := c.recorder.Accepted()
	result.summarize(accepted)
	result.Rejected = len(c.recorder.Rejected())
	if result.Violations, result.FirstViolation = fakestandalone.FindViolations(accepted); result.Violations > 0 {
		result.Failures = append(result.Failures, result.FirstViolation)
	}
}
