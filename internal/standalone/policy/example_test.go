package policy_test

import (
	"fmt"

	"pumiceline/internal/standalone/policy"
)

// A balancer gets two servers, a request and the outcome of its attempt.
func Example() {
	b, err := policy.New(policy.Settings{
		Classes: []policy.Class{
			{Semantics: policy.Idempotent, LatencyTarget: 300_000, ClientTimeout: 2_000_000, Value: 1},
		},
		ReportColumns:  []policy.ReportColumn{policy.ColumnQPS, policy.ColumnUtilization, policy.ColumnEPS},
		ReportDelivery: policy.ReportsInResponses,
		GroupSize:      4,
		Rules: policy.Rules{WarmupTime: 20_000_000, InitialCapacity: 0.1, OverloadFactor: 3,
			OverloadTime: 2_000_000},
		Limits: policy.Limits{MaxAttempts: 3},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	var actions []policy.Action
	now := policy.Time(1_000_000) // the caller's clock, in microseconds

	actions = b.Handle(now, &policy.Event{Kind: policy.MembershipFull, Members: []policy.Member{
		{Server: 7, Mode: policy.ModeReady, Size: 1}, {Server: 8, Mode: policy.ModeDraining, Size: 1},
	}}, actions[:0])

	now += 5_000
	actions = b.Handle(now, &policy.Event{Kind: policy.RequestArrived, ID: 1, ClientTimeout: 2_000_000}, actions[:0])
	for _, a := range actions {
		if a.Kind == policy.SendAttempt {
			fmt.Println("send request", a.ID, "to server", a.Server)
		}
	}

	now += 80_000
	actions = b.Handle(now, &policy.Event{Kind: policy.AttemptEnded, ID: 1, Server: 7, Outcome: policy.OK, Final: true,
		Elapsed: 80_000, Report: []float32{12, 0.4, 0}}, actions[:0])
	fmt.Println(len(actions), "actions follow")
	// Output:
	// send request 1 to server 7
	// 0 actions follow
}
