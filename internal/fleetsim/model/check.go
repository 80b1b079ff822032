package model

import (
	"fmt"
)

// FieldError says which field of a world cannot be played. Path is the field's place as files write it, with places
// of lists from 0: "kinds.1.cores".
type FieldError struct{ Path, Why string }

func (e *FieldError) Error() string { return e.Path + ": " + e.Why }

// Check says what cannot be played: the first *FieldError, or nil.
func (w *World) Check() error {
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
	spans("length", w.Length, second, 48*hour)
	spans("tick", w.Tick, 0, second)
	count("servers", w.Servers, 1, 100_000)
	count("proxies", w.Proxies, 1, 10_000)
	count("zones", w.Zones, 1, 100)
	count("cell", w.Cell, 1, 100_000)
	within("load", w.Load, 0.0001, 20)
	within("swing", w.Swing, 0, 1)
	spans("wave", w.Wave, 0, 48*hour)
	within("burst", w.Burst, 0, 50)
	spans("burst_on", w.BurstOn, 0, hour)
	must(w.Burst == 0 || w.BurstOn > 0, "burst_on", "is missing, and burst is not 0")
	within("skew", w.Skew, 0, 1)
	within("spread", w.Spread, 0, 0.9)
	within("hint", w.Hint, -1, 5)
	count("keys.count", w.Keys.Count, 0, 1_000_000)
	within("keys.zipf", w.Keys.Zipf, 0, 5)
	within("keys.gain", w.Keys.Gain, 0, 0.99)
	spans("keys.for", w.Keys.For, 0, hour)
	count("keys.per_core", w.Keys.PerCore, 0, 1_000_000)
	count("kinds", len(w.Kinds), 1, 50)
	for i, k := range w.Kinds {
		at := fmt.Sprintf("kinds.%d.", i)
		must(k.Name != "", at+"name", "is missing")
		within(at+"share", k.Share, 0, 1)
		count(at+"cores", k.Cores, 1, 1024)
		within(at+"speed", k.Speed, 0.001, 100)
		count(at+"slots", k.Slots, 1, 100_000)
		count(at+"room", k.Room, 0, 1_000_000)
		count(at+"knee", k.Knee, 0, 1_000_000)
		within(at+"crowding", k.Crowding, 0, 10)
		within(at+"cold_from", k.ColdFrom, 0.001, 1)
		spans(at+"cold_for", k.ColdFor, 0, hour)
		spans(at+"pause_every", k.PauseEvery, 0, hour)
		spans(at+"pause", k.Pause, 0, hour)
		within(at+"errors", k.Errors, 0, 1)
	}
	count("classes", len(w.Classes), 1, 100)
	for i, c := range w.Classes {
		at := fmt.Sprintf("classes.%d.", i)
		must(c.Name != "", at+"name", "is missing")
		within(at+"share", c.Share, 0, 1)
		spans(at+"work", c.Work, 1, hour)
		within(at+"cv", c.CV, 0, 10)
		within(at+"noise", c.Noise, 0, 10)
		spans(at+"wait", c.Wait, 0, hour)
		spans(at+"aim", c.Aim, 1, hour)
		spans(at+"deadline", c.Deadline, c.Aim, hour)
		within(at+"worth", c.Worth, 0, 1e6)
		within(at+"late", c.Late, 0, 1)
		must(effects[c.Effect] != nil, at+"effect", "%q is none of safe, keyed, unsafe", c.Effect)
		must(groups[c.Group] != nil, at+"group", "%q is none of all, zone, cell", c.Group)
		spans(at+"window", c.Window, 0, hour)
	}
	count("tenants", len(w.Tenants), 0, 100_000)
	for i, t := range w.Tenants {
		at := fmt.Sprintf("tenants.%d.", i)
		within(at+"share", t.Share, 0, 1)
		within(at+"usage", t.Usage, 0, 100)
	}
	count("clients.retries", w.Clients.Retries, 0, 20)
	within("clients.patience", w.Clients.Patience, 0.01, 1)
	spans("clients.backoff", w.Clients.Backoff, 0, hour)
	within("clients.heed", w.Clients.Heed, 0, 1)
	within("clients.hasty", w.Clients.Hasty, 0, 1)
	within("clients.reckless", w.Clients.Reckless, 0, 1)
	spans("clients.notice", w.Clients.Notice, 0, hour)
	within("clients.over_share", w.Clients.OverShare, 0, 1)
	spans("net.same", w.Net.Same, 1, second)
	spans("net.cross", w.Net.Cross, 1, second)
	spans("net.client", w.Net.Client, 1, second)
	within("net.jitter", w.Net.Jitter, 0, 100)
	spans("net.peer", w.Net.Peer, 0, hour)
	within("net.loss", w.Net.Loss, 0, 1)
	within("conn.trips", w.Conn.Trips, 0, 10)
	spans("conn.work", w.Conn.Work, 0, second)
	spans("conn.idle", w.Conn.Idle, 1000, hour)
	spans("conn.dial_within", w.Conn.DialWithin, 1000, hour)
	count("conn.cap_per_core", w.Conn.CapPerCore, 1, 1_000_000)
	within("conn.tax", w.Conn.Tax, 0, 0.99)
	_, known := reportVias[w.Reports.Via]
	must(known, "reports.via", "%q is none of answers, probe, none", w.Reports.Via)
	spans("reports.every", w.Reports.Every, 1000, hour)
	spans("reports.delay", w.Reports.Delay, 0, hour)
	within("reports.noise", w.Reports.Noise, 0, 1)
	spans("discovery.notice", w.Discovery.Notice, 0, hour)
	spans("discovery.silent", w.Discovery.Silent, 0, hour)
	spans("discovery.add", w.Discovery.Add, 0, hour)
	spans("discovery.spread", w.Discovery.Spread, 0, hour)
	within("discovery.calls", w.Discovery.Calls, 0.01, 1e9)
	spans("discovery.within", w.Discovery.Within, 1000, hour)
	spans("discovery.break_in", w.Discovery.BreakIn, 0, 48*hour)
	within("tip.multiple", w.Tip.Multiple, 0, 1e6)
	must(w.Tip.Multiple == 0 || w.Tip.Over >= 1000, "tip.over", "is under 1ms")
	within("tip.slack", w.Tip.Slack, 0, 1e6)
	spans("told.answer_slack", w.Told.AnswerSlack, 0, hour)
	spans("told.ask_within", w.Told.AskWithin, second, hour)
	spans("told.drain_grace", w.Told.DrainGrace, 0, hour)
	spans("told.cold", w.Told.Cold, 0, hour)
	within("told.cold_share", w.Told.ColdShare, 0, 1)
	within("told.tip_multiple", w.Told.TipMultiple, 0, 1e6)
	count("told.attempts", w.Told.Attempts, 1, maxAttempts)
	count("draw", w.Draw, 0, 100)
	for i, t := range w.Troubles {
		at := fmt.Sprintf("trouble.%d.", i)
		must(Troubles[t.Kind] != "", at+"kind", "%q is no kind of trouble", t.Kind)
		spans(at+"at", t.At, 0, 48*hour)
		spans(at+"for", t.For, 0, 48*hour)
		within(at+"part", t.Part, 0, 1)
		within(at+"size", t.Size, 0, 1000)
		switch t.Kind {
		case "fast_errors", "gray", "neighbour", "deploy", "proxy_roll":
			within(at+"size", t.Size, 0, 1)
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
