package model

// Quotes is the laboratory's standard world: our reading of what the operators' brief says of their quote servers
// (four zones, two kinds, four classes, two tenants) with round figures where the brief gives ranges or none.
func Quotes() World {
	ms := func(n int) Span { return Span(n) * 1000 }
	s := func(n int) Span { return Span(n) * 1_000_000 }
	return World{
		Length: s(45), Tick: ms(5), Servers: 13, Proxies: 4, Zones: 4, Cell: 6,
		Load: 0.6, Swing: 0.2, Wave: s(30), Skew: 0.4, Spread: 0.15, Hint: 0.2,
		Kinds: []Kind{
			{Name: "std-8", Share: 0.56, Cores: 8, Speed: 0.95, Slots: 56, Room: 150, Knee: 42, Crowding: 0.035, ColdFrom: 0.23,
				ColdFor: s(17), WarmByWork: true, PauseEvery: s(30), Pause: ms(60), Errors: 0.001},
			{Name: "small-6", Share: 0.44, Cores: 6, Speed: 0.74, Slots: 44, Room: 140, Knee: 31, Crowding: 0.04, ColdFrom: 0.23,
				ColdFor: s(17), WarmByWork: true, PauseEvery: s(25), Pause: ms(140), Errors: 0.001},
		},
		Classes: []Class{
			{Name: "quick-quote", Share: 0.43, Work: ms(100), CV: 1, Noise: 0.3, Aim: ms(600), Deadline: ms(1500), Worth: 3,
				Late: 0.25, Effect: "safe", Group: "all", Window: s(5)},
			{Name: "full-quote", Share: 0.38, Work: ms(260), CV: 1.1, Noise: 0.3, Aim: ms(1500), Deadline: ms(6000), Worth: 1,
				Late: 0.3, Effect: "safe", Group: "all", Window: s(5)},
			{Name: "issue-policy", Share: 0.1, Work: ms(130), CV: 1.2, Noise: 0.3, Aim: ms(1000), Deadline: ms(3000), Worth: 5,
				Late: 0.5, Effect: "keyed", Group: "zone", Window: s(3)},
			{Name: "amend-cover", Share: 0.09, Work: ms(140), CV: 1, Noise: 0.3, Aim: ms(800), Deadline: ms(2000), Worth: 3,
				Late: 0.5, Effect: "keyed", Group: "cell", Window: s(2)},
		},
		Tenants: []Tenant{{Name: "steppe-tours", Share: 0.77, Usage: 1}, {Name: "khan-air", Share: 0.23, Usage: 1}},
		Clients: Clients{Retries: 2, Patience: 0.48, Backoff: ms(150), Heed: 0.25, MostHeeded: ms(2500), Notice: ms(2600),
			OverShare: 0.1},
		Net:       Net{Same: 230, Cross: 7800, Client: 560, Jitter: 0.2, Peer: ms(20), Loss: 0.01},
		Conn:      Conn{Trips: 2, Work: 1700, Idle: s(10), DialWithin: ms(250), CapPerCore: 750, Tax: 0.28},
		Reports:   Reports{Every: ms(1100), Delay: ms(330), Noise: 0.035},
		Discovery: Discovery{Notice: ms(2900), Silent: ms(8800), Add: ms(1400), Spread: ms(700), Calls: 4.5, Within: s(1)},
		Tip:       Tip{Multiple: 3, Over: s(1), Slack: 2},
		Told: Told{AnswerSlack: ms(20), AskWithin: s(10), DrainGrace: ms(500), Cold: s(24), ColdShare: 0.12, TipMultiple: 3,
			Attempts: 3, MostHeld: 20000, Copies: true, Cancel: true},
		Prices: Prices{LateFail: 0.15, Waste: 0.03, Cross: 0.03, Handshake: 0.02, Peer: 0.01},
	}
}
