package model

import (
	"fmt"
)

// FieldError says which field of a world cannot be played. Path is the field's place as files write it, with places
// of lists from 0: "kinds.1.cores".
type FieldError struct{ Path, Why string }

func (e *FieldError) Error() string { return e.Path + ": " + e.Why }

// Validate says what cannot be played: the first *FieldError, or nil.
func (w *Scenario) Validate() error {
	var first error
	must := func(ok bool, path, why string, args ...any) {
		if !ok && first == nil {
			first = &FieldError{path, fmt.Sprintf(why, args...)}
		}
	}
	count := func(path string, n, least, most int) {
		must(n >= least && n <= most, path, "%d is not within %d and %d", n, least, most)
	}
	within := func(path string, x, least, most float64) {
		must(x >= least && x <= most, path, "%v is not within %v and %v", x, least, most) // NaN is not, either
	}
	spans := func(path string, s, least, most Span) {
		must(s >= least && s <= most, path, "%v is not within %v and %v", s, least, most)
	}
	const hour, second = Span(3600e6), Span(1e6)
	spans("length", w.Duration, second, 48*hour)
	spans("tick", w.Tick, 0, second)
	count("servers", w.Servers, 1, 100_000)
	count("proxies", w.Proxies, 1, 10_000)
	count("zones", w.Zones, 1, 100)
	count("cell", w.CellSize, 1, 100_000)
	within("load", w.Load, 0.0001, 20)
	within("swing", w.WaveAmplitude, 0, 1)
	spans("wave", w.WavePeriod, 0, 48*hour)
	within("burst", w.BurstFactor, 0, 50)
	spans("burst_on", w.BurstTime, 0, hour)
	must(w.BurstFactor == 0 || w.BurstTime > 0, "burst_on", "is missing, and burst is not 0")
	within("skew", w.ZoneSkew, 0, 1)
	within("spread", w.Spread, 0, 0.9)
	within("hint", w.WorkHintCV, -1, 5)
	count("keys.count", w.Keys.Count, 0, 1_000_000)
	within("keys.zipf", w.Keys.ZipfExponent, 0, 5)
	within("keys.gain", w.Keys.HitSavings, 0, 0.99)
	spans("keys.for", w.Keys.TTL, 0, hour)
	count("keys.per_core", w.Keys.CapacityPerCore, 0, 1_000_000)
	count("kinds", len(w.InstanceTypes), 1, 50)
	for i, k := range w.InstanceTypes {
		at := fmt.Sprintf("kinds.%d.", i)
		must(k.Name != "", at+"name", "is missing")
		within(at+"share", k.Share, 0, 1)
		count(at+"cores", k.Cores, 1, 1024)
		within(at+"speed", k.Speed, 0.001, 100)
		count(at+"slots", k.Slots, 1, 100_000)
		count(at+"room", k.QueueCapacity, 0, 1_000_000)
		count(at+"knee", k.Knee, 0, 1_000_000)
		within(at+"crowding", k.Crowding, 0, 10)
		within(at+"cold_from", k.InitialCapacity, 0.001, 1)
		spans(at+"cold_for", k.WarmupTime, 0, hour)
		spans(at+"pause_every", k.PauseInterval, 0, hour)
		spans(at+"pause", k.PauseTime, 0, hour)
		within(at+"errors", k.ErrorRate, 0, 1)
	}
	count("classes", len(w.Classes), 1, 100)
	for i, c := range w.Classes {
		at := fmt.Sprintf("classes.%d.", i)
		must(c.Name != "", at+"name", "is missing")
		within(at+"share", c.Share, 0, 1)
		spans(at+"work", c.Work, 1, hour)
		within(at+"cv", c.WorkCV, 0, 10)
		within(at+"noise", c.AttemptCV, 0, 10)
		spans(at+"wait", c.DownstreamWait, 0, hour)
		spans(at+"aim", c.LatencyTarget, 1, hour)
		spans(at+"deadline", c.Deadline, c.LatencyTarget, hour)
		within(at+"worth", c.Value, 0, 1e6)
		within(at+"late", c.LateValueShare, 0, 1)
		must(semanticsByName[c.Semantics] != nil, at+"effect", "%q is none of safe, keyed, unsafe", c.Semantics)
		must(dedupScopeByName[c.DedupScope] != nil, at+"group", "%q is none of all, zone, cell", c.DedupScope)
		spans(at+"window", c.DedupWindow, 0, hour)
	}
	count("tenants", len(w.Tenants), 0, 100_000)
	for i, t := range w.Tenants {
		at := fmt.Sprintf("tenants.%d.", i)
		within(at+"share", t.QuotaShare, 0, 1)
		within(at+"usage", t.QuotaUsage, 0, 100)
	}
	count("clients.retries", w.Clients.Retries, 0, 20)
	within("clients.patience", w.Clients.AttemptTimeoutShare, 0.01, 1)
	spans("clients.backoff", w.Clients.Backoff, 0, hour)
	within("clients.heed", w.Clients.RetryAfterCompliance, 0, 1)
	within("clients.hasty", w.Clients.ImpatientShare, 0, 1)
	within("clients.reckless", w.Clients.UnsafeRetryShare, 0, 1)
	spans("clients.notice", w.Clients.ProxyFailoverDelay, 0, hour)
	within("clients.over_share", w.Clients.OverQuotaValue, 0, 1)
	spans("net.same", w.Network.SameZone, 1, second)
	spans("net.cross", w.Network.CrossZone, 1, second)
	spans("net.client", w.Network.Client, 1, second)
	within("net.jitter", w.Network.Jitter, 0, 100)
	spans("net.peer", w.Network.PeerDelay, 0, hour)
	within("net.loss", w.Network.PeerLoss, 0, 1)
	within("conn.trips", w.Connections.HandshakeRoundTrips, 0, 10)
	spans("conn.work", w.Connections.HandshakeWork, 0, second)
	spans("conn.idle", w.Connections.IdleTimeout, 1000, hour)
	spans("conn.dial_within", w.Connections.DialTimeout, 1000, hour)
	count("conn.cap_per_core", w.Connections.MaxPerCore, 1, 1_000_000)
	within("conn.tax", w.Connections.CapacityTax, 0, 0.99)
	_, known := reportDeliveryByName[w.Reports.Delivery]
	must(known, "reports.via", "%q is none of answers, probe, none", w.Reports.Delivery)
	spans("reports.every", w.Reports.Interval, 1000, hour)
	spans("reports.delay", w.Reports.Delay, 0, hour)
	within("reports.noise", w.Reports.Noise, 0, 1)
	spans("discovery.notice", w.Discovery.DrainDelay, 0, hour)
	spans("discovery.silent", w.Discovery.CrashDelay, 0, hour)
	spans("discovery.add", w.Discovery.StartDelay, 0, hour)
	spans("discovery.spread", w.Discovery.NotifyJitter, 0, hour)
	within("discovery.calls", w.Discovery.CallsPerSecond, 0.01, 1e9)
	spans("discovery.within", w.Discovery.CallTimeout, 1000, hour)
	spans("discovery.break_in", w.Discovery.WatchLifetime, 0, 48*hour)
	within("tip.multiple", w.Overload.Factor, 0, 1e6)
	must(w.Overload.Factor == 0 || w.Overload.Window >= 1000, "tip.over", "is under 1ms")
	within("tip.slack", w.Overload.SlackRequests, 0, 1e6)
	spans("told.answer_slack", w.Published.ResponseGrace, 0, hour)
	spans("told.ask_within", w.Published.SubscribeWithin, second, hour)
	spans("told.drain_grace", w.Published.DrainGrace, 0, hour)
	spans("told.cold", w.Published.WarmupTime, 0, hour)
	within("told.cold_share", w.Published.InitialCapacity, 0, 1)
	within("told.tip_multiple", w.Published.OverloadFactor, 0, 1e6)
	count("told.attempts", w.Published.MaxAttempts, 1, maxAttempts)
	count("draw", w.RandomFaults, 0, 100)
	for i, t := range w.Faults {
		at := fmt.Sprintf("trouble.%d.", i)
		must(FaultKinds[t.Kind] != "", at+"kind", "%q is no kind of trouble", t.Kind)
		spans(at+"at", t.Start, 0, 48*hour)
		spans(at+"for", t.Duration, 0, 48*hour)
		within(at+"part", t.AffectedShare, 0, 1)
		within(at+"size", t.Magnitude, 0, 1000)
		switch t.Kind {
		case "fast_errors", "gray", "neighbour", "deploy", "proxy_roll":
			within(at+"size", t.Magnitude, 0, 1)
		case "cut":
			for _, end := range []struct{ key, party string }{{"from", t.From}, {"to", t.To}} {
				_, err := ParseParty(end.party)
				must(err == nil, at+end.key, "%v", err)
			}
		case "zone_cut", "zone_lost", "discovery_zone", "shift":
			if t.From != "" {
				p, err := ParseParty(t.From)
				must(err == nil && p.Kind == "zone", at+"from", "%q is not zone:N", t.From)
			}
		}
	}
	return first
}
