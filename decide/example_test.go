package decide_test

import (
	"fmt"

	"pumiceline/decide"
)

// One balancer learns of two servers, takes a request and is told how its attempt ended.
func Example() {
	b, err := decide.New(decide.Settings{
		Classes:   []decide.Class{{Semantics: decide.Safe, Aim: 300_000, Deadline: 2_000_000, Worth: 1}},
		Columns:   []decide.Column{decide.ColQPS, decide.ColUtil, decide.ColEPS},
		ReportVia: decide.ReportsInAnswers,
		GroupSize: 4,
		Rules:     decide.Rules{Cold: 20_000_000, ColdShare: 0.1, TipMultiple: 3, TipAfter: 2_000_000},
		Limits:    decide.Limits{Attempts: 3},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	var actions []decide.Action
	now := decide.Time(1_000_000) // the caller's clock, in microseconds

	actions = b.Handle(now, &decide.Event{Kind: decide.ListFull, Members: []decide.Member{
		{Server: 7, Mode: decide.ModeReady, Size: 1}, {Server: 8, Mode: decide.ModeDraining, Size: 1},
	}}, actions[:0])

	now += 5_000
	actions = b.Handle(now, &decide.Event{Kind: decide.Arrival, ID: 1, Patience: 2_000_000}, actions[:0])
	for _, a := range actions {
		if a.Kind == decide.Send {
			fmt.Println("send request", a.ID, "to server", a.Server)
		}
	}

	now += 80_000
	actions = b.Handle(now, &decide.Event{Kind: decide.Outcomed, ID: 1, Server: 7, Outcome: decide.OK, Final: true,
		Elapsed: 80_000, Report: []float32{12, 0.4, 0}}, actions[:0])
	fmt.Println(len(actions), "actions follow")
	// Output:
	// send request 1 to server 7
	// 0 actions follow
}
