package model

import "fmt"

// FieldError reports an invalid field of a scenario. Path is the field's path in files, with list indexes from 0, such
// as "kinds.1.cores".
type FieldError struct{ Path, Why string }

// Error returns "path: why".
func (e *FieldError) Error() string { return e.Path + ": " + e.Why }

// Validate returns a *FieldError for the first invalid field, or nil.
func (sc *Scenario) Validate() error {
	v := &validator{}
	sc.validateLoad(v)
	sc.validateFleet(v)
	sc.validateTraffic(v)
	sc.validateConnections(v)
	sc.validateDiscovery(v)
	sc.validatePublished(v)
	v.intRange("draw", sc.RandomFaults, 0, 100)
	for i := range sc.Faults {
		sc.Faults[i].validate(v, fmt.Sprintf("trouble.%d.", i))
	}
	if v.first == nil { // return v.first would give a non-nil error with a nil *FieldError
		return nil
	}
	return v.first
}

// Bounds of the accepted times.
const (
	oneSecond = Span(1e6)
	oneHour   = Span(3600e6)
	twoDays   = 48 * oneHour
)

// validator keeps the first error of its checks.
type validator struct{ first *FieldError }

func (v *validator) require(ok bool, path, why string, args ...any) {
	if !ok && v.first == nil {
		v.first = &FieldError{path, fmt.Sprintf(why, args...)}
	}
}

func (v *validator) intRange(path string, x, least, most int) {
	v.require(x >= least && x <= most, path, "%d is not within %d and %d", x, least, most)
}

func (v *validator) floatRange(path string, x, least, most float64) {
	v.require(x >= least && x <= most, path, "%v is not within %v and %v", x, least, most) // also fails for NaN
}

func (v *validator) spanRange(path string, x, least, most Span) {
	v.require(x >= least && x <= most, path, "%v is not within %v and %v", x, least, most)
}

func (sc *Scenario) validateLoad(v *validator) {
	v.spanRange("length", sc.Duration, oneSecond, twoDays)
	v.spanRange("tick", sc.Tick, 0, oneSecond)
	v.intRange("servers", sc.Servers, 1, 100_000)
	v.intRange("proxies", sc.Proxies, 1, 10_000)
	v.intRange("zones", sc.Zones, 1, 100)
	v.intRange("cell", sc.CellSize, 1, 100_000)
	v.floatRange("load", sc.Load, 0.0001, 20)
	v.floatRange("swing", sc.WaveAmplitude, 0, 1)
	v.spanRange("wave", sc.WavePeriod, 0, twoDays)
	v.floatRange("burst", sc.BurstFactor, 0, 50)
	v.spanRange("burst_on", sc.BurstTime, 0, oneHour)
	v.require(sc.BurstFactor == 0 || sc.BurstTime > 0, "burst_on", "is missing, and burst is not 0")
	v.floatRange("skew", sc.ZoneSkew, 0, 1)
	v.floatRange("spread", sc.Spread, 0, 0.9)
	v.floatRange("hint", sc.WorkHintCV, -1, 5)
	v.intRange("keys.count", sc.Keys.Count, 0, 1_000_000)
	v.floatRange("keys.zipf", sc.Keys.ZipfExponent, 0, 5)
	v.floatRange("keys.gain", sc.Keys.HitSavings, 0, 0.99)
	v.spanRange("keys.for", sc.Keys.TTL, 0, oneHour)
	v.intRange("keys.per_core", sc.Keys.CapacityPerCore, 0, 1_000_000)
}

func (sc *Scenario) validateFleet(v *validator) {
	v.intRange("kinds", len(sc.InstanceTypes), 1, 50)
	for i, t := range sc.InstanceTypes {
		at := fmt.Sprintf("kinds.%d.", i)
		v.require(t.Name != "", at+"name", "is missing")
		v.floatRange(at+"share", t.Share, 0, 1)
		v.intRange(at+"cores", t.Cores, 1, 1024)
		v.floatRange(at+"speed", t.Speed, 0.001, 100)
		v.intRange(at+"slots", t.Slots, 1, 100_000)
		v.intRange(at+"room", t.QueueCapacity, 0, 1_000_000)
		v.intRange(at+"knee", t.Knee, 0, 1_000_000)
		v.floatRange(at+"crowding", t.Crowding, 0, 10)
		v.floatRange(at+"cold_from", t.InitialCapacity, 0.001, 1)
		v.spanRange(at+"cold_for", t.WarmupTime, 0, oneHour)
		v.spanRange(at+"pause_every", t.PauseInterval, 0, oneHour)
		v.spanRange(at+"pause", t.PauseTime, 0, oneHour)
		v.floatRange(at+"errors", t.ErrorRate, 0, 1)
	}
}

func (sc *Scenario) validateTraffic(v *validator) {
	v.intRange("classes", len(sc.Classes), 1, 100)
	for i := range sc.Classes {
		sc.Classes[i].validate(v, fmt.Sprintf("classes.%d.", i))
	}
	v.intRange("tenants", len(sc.Tenants), 0, 100_000)
	for i, t := range sc.Tenants {
		at := fmt.Sprintf("tenants.%d.", i)
		v.floatRange(at+"share", t.QuotaShare, 0, 1)
		v.floatRange(at+"usage", t.QuotaUsage, 0, 100)
	}
	clients := &sc.Clients
	v.intRange("clients.retries", clients.Retries, 0, 20)
	v.floatRange("clients.patience", clients.AttemptTimeoutShare, 0.01, 1)
	v.spanRange("clients.backoff", clients.Backoff, 0, oneHour)
	v.floatRange("clients.heed", clients.RetryAfterCompliance, 0, 1)
	v.floatRange("clients.hasty", clients.ImpatientShare, 0, 1)
	v.floatRange("clients.reckless", clients.UnsafeRetryShare, 0, 1)
	v.spanRange("clients.notice", clients.ProxyFailoverDelay, 0, oneHour)
	v.floatRange("clients.over_share", clients.OverQuotaValue, 0, 1)
}

func (c *Class) validate(v *validator, at string) {
	v.require(c.Name != "", at+"name", "is missing")
	v.floatRange(at+"share", c.Share, 0, 1)
	v.spanRange(at+"work", c.Work, 1, oneHour)
	v.floatRange(at+"cv", c.WorkCV, 0, 10)
	v.floatRange(at+"noise", c.AttemptCV, 0, 10)
	v.spanRange(at+"wait", c.DownstreamWait, 0, oneHour)
	v.spanRange(at+"aim", c.LatencyTarget, 1, oneHour)
	v.spanRange(at+"deadline", c.Deadline, c.LatencyTarget, oneHour)
	v.floatRange(at+"worth", c.Value, 0, 1e6)
	v.floatRange(at+"late", c.LateValueShare, 0, 1)
	_, known := semanticsByName[c.Semantics]
	v.require(known, at+"effect", "%q is none of safe, keyed, unsafe", c.Semantics)
	_, known = dedupScopeByName[c.DedupScope]
	v.require(known, at+"group", "%q is none of all, zone, cell", c.DedupScope)
	v.spanRange(at+"window", c.DedupWindow, 0, oneHour)
}

func (sc *Scenario) validateConnections(v *validator) {
	network := &sc.Network
	v.spanRange("net.same", network.SameZone, 1, oneSecond)
	v.spanRange("net.cross", network.CrossZone, 1, oneSecond)
	v.spanRange("net.client", network.Client, 1, oneSecond)
	v.floatRange("net.jitter", network.Jitter, 0, 100)
	v.spanRange("net.peer", network.PeerDelay, 0, oneHour)
	v.floatRange("net.loss", network.PeerLoss, 0, 1)
	connections := &sc.Connections
	v.floatRange("conn.trips", connections.HandshakeRoundTrips, 0, 10)
	v.spanRange("conn.work", connections.HandshakeWork, 0, oneSecond)
	v.spanRange("conn.idle", connections.IdleTimeout, 1000, oneHour)
	v.spanRange("conn.dial_within", connections.DialTimeout, 1000, oneHour)
	v.intRange("conn.cap_per_core", connections.MaxPerCore, 1, 1_000_000)
	v.floatRange("conn.tax", connections.CapacityTax, 0, 0.99)
	reports := &sc.Reports
	_, known := reportDeliveryByName[reports.Delivery]
	v.require(known, "reports.via", "%q is none of answers, probe, none", reports.Delivery)
	v.spanRange("reports.every", reports.Interval, 1000, oneHour)
	v.spanRange("reports.delay", reports.Delay, 0, oneHour)
	v.floatRange("reports.noise", reports.Noise, 0, 1)
}

func (sc *Scenario) validateDiscovery(v *validator) {
	discovery := &sc.Discovery
	v.spanRange("discovery.notice", discovery.DrainDelay, 0, oneHour)
	v.spanRange("discovery.silent", discovery.CrashDelay, 0, oneHour)
	v.spanRange("discovery.add", discovery.StartDelay, 0, oneHour)
	v.spanRange("discovery.spread", discovery.NotifyJitter, 0, oneHour)
	v.floatRange("discovery.calls", discovery.CallsPerSecond, 0.01, 1e9)
	v.spanRange("discovery.within", discovery.CallTimeout, 1000, oneHour)
	v.spanRange("discovery.break_in", discovery.WatchLifetime, 0, twoDays)
}

func (sc *Scenario) validatePublished(v *validator) {
	v.floatRange("tip.multiple", sc.Overload.Factor, 0, 1e6)
	v.require(sc.Overload.Factor == 0 || sc.Overload.Window >= 1000, "tip.over", "is under 1ms")
	v.floatRange("tip.slack", sc.Overload.SlackRequests, 0, 1e6)
	published := &sc.Published
	v.spanRange("told.answer_slack", published.ResponseGrace, 0, oneHour)
	v.spanRange("told.ask_within", published.SubscribeWithin, oneSecond, oneHour)
	v.spanRange("told.drain_grace", published.DrainGrace, 0, oneHour)
	v.spanRange("told.cold", published.WarmupTime, 0, oneHour)
	v.floatRange("told.cold_share", published.InitialCapacity, 0, 1)
	v.floatRange("told.tip_multiple", published.OverloadFactor, 0, 1e6)
	v.intRange("told.attempts", published.MaxAttempts, 1, maxAttempts)
}

func (f *Fault) validate(v *validator, at string) {
	v.require(FaultKinds[f.Kind] != "", at+"kind", "%q is no kind of fault", f.Kind)
	v.spanRange(at+"at", f.Start, 0, twoDays)
	v.spanRange(at+"for", f.Duration, 0, twoDays)
	v.floatRange(at+"part", f.AffectedShare, 0, 1)
	v.floatRange(at+"size", f.Magnitude, 0, 1000)
	switch f.Kind {
	case FaultErrors, FaultSlowdown, FaultNoisyNeighbour, FaultDeploy, FaultProxyRoll:
		v.floatRange(at+"size", f.Magnitude, 0, 1)
	case FaultPartition:
		_, err := ParseEndpoint(f.From)
		v.require(err == nil, at+"from", "%v", err)
		_, err = ParseEndpoint(f.To)
		v.require(err == nil, at+"to", "%v", err)
	case FaultZoneIsolated, FaultZoneLost, FaultDiscoveryZoneOutage, FaultZoneShift:
		if f.From != "" {
			endpoint, err := ParseEndpoint(f.From)
			v.require(err == nil && endpoint.Kind == EndpointZone, at+"from", "%q is not zone:N", f.From)
		}
	}
}
