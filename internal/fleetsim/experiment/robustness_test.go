package experiment

import (
	"fmt"
	"testing"

	"pumiceline/internal/fleetsim/baseline"
	"pumiceline/internal/fleetsim/model"
)

// The test guards against policy constants that fit only one deployment. In each scenario, the product policy's G may
// be at most the margin below the G of the oracle policy, which sees the true state. With all times of the scenario
// scaled, its G may be at most the margin below its G on the unchanged scenario. With work moved into downstream waits,
// reports delivered in another way or not at all, or client timeouts soon or long after the latency target, its G may
// fall by what the oracle's G falls, plus the margin. A policy that assumed a queue of half the latency target had a G
// of 0.145 with invitations, where the oracle has 0.848, and of 0.072 with half of the work in waits.
func TestProductPolicy_FollowsOracleOnOtherDeployments(t *testing.T) {
	const margin = 0.06
	invitations, err := Load("../../../example/experiments/invitations.toml")
	if err != nil {
		t.Fatal(err)
	}
	for name, scenario := range map[string]model.Scenario{"quotes": model.DefaultScenario(),
		"invitations": invitations.Scenario} {
		scenario.Duration = 16e6
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			mean := func(scenario model.Scenario, policy string) (g float64) {
				t.Helper()
				const seeds = 3
				for seed := range uint64(seeds) {
					outcome := Simulate(&scenario, policy, seed+1, nil)
					if outcome.Err != nil {
						t.Fatal(outcome.Err)
					}
					if policy == PolicyProduct && !outcome.Report.HasNoViolations() {
						t.Errorf("seed %d: rule violations: %v", seed+1, outcome.Report.ViolationCounts)
					}
					g += outcome.Report.G / seeds
				}
				return g
			}
			own, oracle := mean(scenario, PolicyProduct), mean(scenario, baseline.PolicyOracle)
			if own < oracle-margin {
				t.Errorf("G %.3f, the oracle's %.3f", own, oracle)
			}
			for _, pace := range []float64{0.25, 0.5, 2, 4} {
				if got := mean(scenario.TimeScaled(pace), PolicyProduct); got < own-margin {
					t.Errorf("times scaled by %v: G %.3f, unscaled %.3f", pace, got, own)
				}
			}
			changed := map[string]model.Scenario{"half of the work waits": scenario.WithDownstreamWait(0.5),
				"nine tenths of the work wait": scenario.WithDownstreamWait(0.9)}
			for _, via := range []string{"answers", "probe", "none"} {
				c := scenario.Clone()
				c.Reports.Delivery = via
				changed["reports: "+via] = c
			}
			for _, factor := range []float64{1.1, 8} {
				c := scenario.Clone()
				for i := range c.Classes {
					c.Classes[i].Deadline = model.Span(float64(c.Classes[i].LatencyTarget) * factor)
				}
				changed[fmt.Sprint("client timeout in latency targets: ", factor)] = c
			}
			for what, c := range changed {
				got, oracleGot := mean(c, PolicyProduct), mean(c, baseline.PolicyOracle)
				if got < own-margin-max(0, oracle-oracleGot) {
					t.Errorf("%s: G %.3f, unchanged %.3f; the oracle's %.3f and %.3f", what, got, own, oracleGot, oracle)
				}
			}
		})
	}
}
