package experiment

import "pumiceline/internal/fleetsim/model"

// scenarioSample returns the scenario of testdata/experiment.toml and testdata/results.jsonl. It sets every key to a
// value other than its zero value.
func scenarioSample() model.Scenario {
	return model.Scenario{
		Duration: 45_001_000, Tick: 5001,
		Servers: 14, Proxies: 5, Zones: 5, CellSize: 7,
		Load: 0.66, WaveAmplitude: 0.22, WavePeriod: 30_001_000,
		BurstFactor: 1.5, BurstTime: 2_000_000, ZoneSkew: 0.44, Spread: 0.165, WorkHintCV: 0.25,
		Keys: model.Keys{Count: 7, ZipfExponent: 0.9, HitSavings: 0.6, TTL: 30_000_000, CapacityPerCore: 9},
		InstanceTypes: []model.InstanceType{
			{Name: "std-8", Share: 0.616,
				Cores: 9, Speed: 0.88, Slots: 57, QueueCapacity: 151, Knee: 43, Crowding: 0.0385,
				InitialCapacity: 0.253, WarmupTime: 17_001_000, WarmByWork: true, PauseInterval: 30_001_000,
				PauseTime: 61_000, ErrorRate: 0.0011},
			{Name: "small-6", Share: 0.484,
				Cores: 7, Speed: 0.814, Slots: 45, QueueCapacity: 141, Knee: 32, Crowding: 0.044,
				InitialCapacity: 0.253, WarmupTime: 17_001_000, WarmByWork: true, PauseInterval: 25_001_000,
				PauseTime: 141_000, ErrorRate: 0.0011},
		},
		Classes: []model.Class{
			{Name: "quick-quote", Share: 0.473, Work: 101_000, WorkCV: 0.88,
				AttemptCV: 0.33, DownstreamWait: 20_000, LatencyTarget: 601_000, Deadline: 1_501_000, Value: 3.3,
				LateValueShare: 0.275, Semantics: "unsafe", DedupScope: "all", DedupWindow: 5_001_000},
			{Name: "full-quote", Share: 0.418, Work: 261_000, WorkCV: 1.21,
				AttemptCV: 0.33, DownstreamWait: 20_000, LatencyTarget: 1_501_000, Deadline: 6_001_000, Value: 0.88,
				LateValueShare: 0.33, Semantics: "safe", DedupScope: "all", DedupWindow: 5_001_000},
			{Name: "issue-policy", Share: 0.11, Work: 131_000, WorkCV: 1.32,
				AttemptCV: 0.33, DownstreamWait: 20_000, LatencyTarget: 1_001_000, Deadline: 3_001_000, Value: 5.5,
				LateValueShare: 0.55, Semantics: "keyed", DedupScope: "zone", DedupWindow: 3_001_000},
			{Name: "amend-cover", Share: 0.099, Work: 141_000, WorkCV: 0.88,
				AttemptCV: 0.33, DownstreamWait: 20_000, LatencyTarget: 801_000, Deadline: 2_001_000, Value: 3.3,
				LateValueShare: 0.55, Semantics: "keyed", DedupScope: "cell", DedupWindow: 2_001_000},
		},
		Tenants: []model.Tenant{
			{Name: "steppe-tours", QuotaShare: 0.847, QuotaUsage: 0.88},
			{Name: "khan-air", QuotaShare: 0.253, QuotaUsage: 0.88},
		},
		Clients: model.Clients{Retries: 3, AttemptTimeoutShare: 0.528, Backoff: 175_000, MarkRetries: true,
			RetryAfterCompliance: 0.275, MaxRetryAfter: 2_501_000,
			ImpatientShare: 0.06, UnsafeRetryShare: 0.055, ProxyFailoverDelay: 2_601_000, OverQuotaValue: 0.11},
		Network: model.Network{SameZone: 231, CrossZone: 8800, Client: 561, Jitter: 0.22, PeerDelay: 21_000,
			PeerLoss: 0.011},
		Connections: model.Connections{HandshakeRoundTrips: 2.5, HandshakeWork: 1701, IdleTimeout: 10_001_000,
			DialTimeout: 251_000, MaxPerCore: 751, CapacityTax: 0.308},
		Reports: model.Reports{Delivery: "probe", Interval: 1_101_000, Delay: 331_000,
			Noise: 0.0385},
		Discovery: model.Discovery{DrainDelay: 2_901_000, CrashDelay: 8_801_000, StartDelay: 1_401_000,
			NotifyJitter: 701_000, CallsPerSecond: 4.95, CallTimeout: 1_001_000, WatchLifetime: 60_000_000},
		Overload: model.Overload{Factor: 3.5, Window: 1_001_000, SlackRequests: 2.2, Downtime: 20_000_000},
		Published: model.PublishedSettings{ResponseGrace: 21_000, SubscribeWithin: 10_001_000, DrainGrace: 501_000,
			WarmupTime:      24_001_000,
			InitialCapacity: 0.132, OverloadFactor: 3.25, MaxAttempts: 4, MaxOpenRequests: 20_001, AllowHedging: true,
			AllowCancel: true},
		Prices: model.Prices{LateFailure: 0.165, WastedWork: 0.033, CrossZone: 0.033, Handshake: 0.022, LoadPoll: 0.055,
			PeerMessage: 0.011},
		Faults: []model.Fault{
			faultSample("hang", 1_000_000, 1_500_000),
			faultSample("fast_errors", 2_000_000, 2_500_000),
			faultSample("neighbour", 3_000_000, 3_500_000),
			faultSample("gray", 4_000_000, 4_500_000),
			faultSample("report_late", 5_000_000, 5_500_000),
			faultSample("deploy", 6_000_000, 6_500_000),
			faultSample("restart", 7_000_000, 7_500_000),
			faultSample("zone_lost", 8_000_000, 8_500_000),
			faultSample("zone_cut", 9_000_000, 9_500_000),
			faultSample("cut", 10_000_000, 10_500_000),
			faultSample("discovery", 11_000_000, 11_500_000),
			faultSample("discovery_zone", 12_000_000, 12_500_000),
			faultSample("reconnect_storm", 13_000_000, 13_500_000),
			faultSample("proxy_kill", 14_000_000, 14_500_000),
			faultSample("proxy_roll", 15_000_000, 15_500_000),
			faultSample("shift", 16_000_000, 16_500_000),
			faultSample("retry_storm", 17_000_000, 17_500_000),
			faultSample("flood", 18_000_000, 18_500_000),
		},
		RandomFaults: 1,
	}
}

// faultSample returns a fault of the sample. The faults differ only in kind and times.
func faultSample(kind model.FaultKind, start, duration model.Span) model.Fault {
	return model.Fault{Kind: kind, Start: start, Duration: duration, AffectedShare: 0.25, Magnitude: 0.5,
		Interval: 300_000, From: "zone:1", To: "proxy:2", NewIDs: true}
}
