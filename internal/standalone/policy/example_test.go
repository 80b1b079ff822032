package policy_test

import (
	"fmt"

	"pumiceline/internal/standalone/policy"
)

// One balancer learns of two servers, takes a request and is told how its attempt ended.
func Example() {
	b, err := policy.New(policy.Settings{
		Classes:   []policy.Class{{Semantics: policy.Safe, Aim: 300_000, Deadline: 2_000_000, Worth: 1}},
		Columns:   []policy.Column{policy.ColQPS, policy.ColUtil, policy.ColEPS},
		ReportVia: policy.ReportsInAnswers,
		GroupSize: 4,
		Rules:     policy.Rules{Cold: 20_000_000, ColdShare: 0.1, TipMultiple: 3, TipAfter: 2_000_000},
		Limits:    policy.Limits{Attempts: 3},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	var actions []policy.Action
	now := policy.Time(1_000_000) // the caller's clock, in microseconds

	actions = b.Handle(now, &policy.Event{Kind: policy.ListFull, Members: []policy.Member{
		{Server: 7, Mode: policy.ModeReady, Size: 1}, {Server: 8, Mode: policy.ModeDraining, Size: 1},
	}}, actions[:0])

	now += 5_000
	actions = b.Handle(now, &policy.Event{Kind: policy.Arrival, ID: 1, Patience: 2_000_000}, actions[:0])
	for _, a := range actions {
		if a.Kind == policy.Send {
			fmt.Println("send request", a.ID, "to server", a.Server)
		}
	}

	now += 80_000
	actions = b.Handle(now, &policy.Event{Kind: policy.Outcomed, ID: 1, Server: 7, Outcome: policy.OK, Final: true,
		Elapsed: 80_000, Report: []float32{12, 0.4, 0}}, actions[:0])
	fmt.Println(len(actions), "actions follow")
	// Output:
	// send request 1 to server 7
	// 0 actions follow
}
