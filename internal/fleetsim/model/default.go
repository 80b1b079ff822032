package model

// DefaultScenario returns the standard scenario. It models the operators' description of their quote servers: four
// zones, two instance types, four classes, two tenants. Where the description gives a range or no figure, a round
// figure is used.
func DefaultScenario() Scenario {
	ms := func(n int) Span { return Span(n) * 1000 }
	sec := func(n int) Span { return Span(n) * 1_000_000 }
	return Scenario{
		Duration: sec(45), Tick: ms(5), Servers: 13, Proxies: 4, Zones: 4, CellSize: 6,
		Load: 0.6, WaveAmplitude: 0.2, WavePeriod: sec(30), ZoneSkew: 0.4, Spread: 0.15, WorkHintCV: 0.2,
		InstanceTypes: []InstanceType{
			{Name: "std-8", Share: 0.56, Cores: 8, Speed: 0.95, Slots: 56, QueueCapacity: 150, Knee: 42,
				Crowding: 0.035, InitialCapacity: 0.23,
				WarmupTime: sec(17), WarmByWork: true, PauseInterval: sec(30), PauseTime: ms(60), ErrorRate: 0.001},
			{Name: "small-6", Share: 0.44, Cores: 6, Speed: 0.74, Slots: 44, QueueCapacity: 140, Knee: 31,
				Crowding: 0.04, InitialCapacity: 0.23,
				WarmupTime: sec(17), WarmByWork: true, PauseInterval: sec(25), PauseTime: ms(140), ErrorRate: 0.001},
		},
		Classes: []Class{
			{Name: "quick-quote", Share: 0.43, Work: ms(100), WorkCV: 1, AttemptCV: 0.3, LatencyTarget: ms(600),
				Deadline: ms(1500), Value: 3,
				LateValueShare: 0.25, Semantics: "safe", DedupScope: "all", DedupWindow: sec(5)},
			{Name: "full-quote", Share: 0.38, Work: ms(260), WorkCV: 1.1, AttemptCV: 0.3, LatencyTarget: ms(1500),
				Deadline: ms(6000), Value: 1,
				LateValueShare: 0.3, Semantics: "safe", DedupScope: "all", DedupWindow: sec(5)},
			{Name: "issue-policy", Share: 0.1, Work: ms(130), WorkCV: 1.2, AttemptCV: 0.3, LatencyTarget: ms(1000),
				Deadline: ms(3000), Value: 5,
				LateValueShare: 0.5, Semantics: "keyed", DedupScope: "zone", DedupWindow: sec(3)},
			{Name: "amend-cover", Share: 0.09, Work: ms(140), WorkCV: 1, AttemptCV: 0.3, LatencyTarget: ms(800),
				Deadline: ms(2000), Value: 3,
				LateValueShare: 0.5, Semantics: "keyed", DedupScope: "cell", DedupWindow: sec(2)},
		},
		Tenants: []Tenant{{Name: "steppe-tours", QuotaShare: 0.77, QuotaUsage: 1},
			{Name: "khan-air", QuotaShare: 0.23, QuotaUsage: 1}},
		Clients: Clients{Retries: 2, AttemptTimeoutShare: 0.48, Backoff: ms(150), RetryAfterCompliance: 0.25,
			MaxRetryAfter: ms(2500), ProxyFailoverDelay: ms(2600),
			OverQuotaValue: 0.1},
		Network: Network{SameZone: 230, CrossZone: 7800, Client: 560, Jitter: 0.2, PeerDelay: ms(20), PeerLoss: 0.01},
		Connections: Connections{HandshakeRoundTrips: 2, HandshakeWork: 1700, IdleTimeout: sec(10),
			DialTimeout: ms(250), MaxPerCore: 750, CapacityTax: 0.28},
		Reports: Reports{Interval: ms(1100), Delay: ms(330), Noise: 0.035},
		Discovery: Discovery{DrainDelay: ms(2900), CrashDelay: ms(8800), StartDelay: ms(1400), NotifyJitter: ms(700),
			CallsPerSecond: 4.5, CallTimeout: sec(1)},
		Overload: Overload{Factor: 3, Window: sec(1), SlackRequests: 2},
		Published: PublishedSettings{ResponseGrace: ms(20), SubscribeWithin: sec(10), DrainGrace: ms(500),
			WarmupTime: sec(24), InitialCapacity: 0.12, OverloadFactor: 3,
			MaxAttempts: 3, MaxOpenRequests: 20000, AllowHedging: true, AllowCancel: true},
		Prices: Prices{LateFailure: 0.15, WastedWork: 0.03, CrossZone: 0.03, Handshake: 0.02, PeerMessage: 0.01},
	}
}
