package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"pumiceline/internal/faulttest/clustertest"
)

// faulttestClusterCmd is `pumiceline faulttest cluster`.
type faulttestClusterCmd struct {
	Seed      uint64        `help:"What the faults are drawn from." default:"1"`
	Members   int           `help:"Members that agree: 1, 3, 5 or 7." default:"5"`
	Instances int           `help:"Instances that carry out the roles." default:"30"`
	Roles     int           `name:"works" help:"Singleton roles." default:"4"`
	Lease     time.Duration `help:"Duration of a lease." default:"1s"`
	Length    time.Duration `help:"For how long faults begin." default:"60s"`
	Unfenced  bool          `help:"The recorder accepts stale effects too: the checker must find violations."`
	Out       string        `help:"File for the result and the history, as JSON." type:"path"`
}

// Run injects faults drawn from a seed. It returns an error if a stale effect was accepted or a role was not held again
// after the faults.
func (c *faulttestClusterCmd) Run(out output) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("own program: %w", err)
	}
	result, err := clustertest.Run(program, &clustertest.Options{Seed: c.Seed, Members: c.Members, Instances: c.Instances,
		Roles: c.Roles, Lease: c.Lease, FaultPeriod: c.Length, Unfenced: c.Unfenced})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "seed %d: %d effects accepted, %d late ones rejected, %d changes of holders, longest gap %.1f s, "+
		"all roles held again %.1f s after the last fault, %d violations, linearizable %v\n",
		result.Seed, result.Accepted, result.Rejected, result.HolderChanges, result.LongestGap(),
		result.RecoveryS, result.Violations, result.Linearizable)
	if err := writeResult(c.Out, result); err != nil {
		return err
	}
	if len(result.Failures) > 0 {
		return fmt.Errorf("faulttest: %s; again with: pumiceline faulttest cluster --seed %d",
			strings.Join(result.Failures, "; "), c.Seed)
	}
	return nil
}

// faulttestDiscoveryCacheCmd is `pumiceline faulttest discovery-cache`.
type faulttestDiscoveryCacheCmd struct {
	Members      int           `help:"Members that agree: 1, 3, 5 or 7." default:"5"`
	Instances    int           `help:"Instances, each with a cache of discovery's list." default:"60"`
	Lease        time.Duration `help:"Duration of a lease." default:"2s"`
	SteadyPeriod time.Duration `name:"calm" help:"For how long requests are counted before the holder is killed." default:"10s"`
	Proxies      int           `help:"Proxies under load that ask a cache; as many ask discovery itself." default:"2"`
}

// Run starts members and instances, counts the requests to discovery, and kills the instance that follows discovery for
// the others.
func (c *faulttestDiscoveryCacheCmd) Run(out output) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("own program: %w", err)
	}
	result, err := clustertest.RunDiscoveryCache(program, &clustertest.DiscoveryCacheOptions{Members: c.Members,
		Instances: c.Instances, Lease: c.Lease, SteadyPeriod: c.SteadyPeriod, Proxies: c.Proxies})
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	fmt.Fprintln(out, string(text))
	return nil
}
