package model

import (
	"math/rand/v2"
)

// Fault is something that goes wrong for a while.
type Fault struct {
	Kind          string  `toml:"kind" json:"kind"`
	Start         Span    `toml:"at" json:"at"`
	Duration      Span    `toml:"for" json:"for"`
	AffectedShare float64 `toml:"part" json:"part"`   // of the servers (or proxies) that it strikes
	Magnitude     float64 `toml:"size" json:"size"`   // how hard; see Troubles
	Interval      Span    `toml:"every" json:"every"` // on and off, drain time, or a fault's period; see Troubles
	From          string  `toml:"from" json:"from"`   // for cut: a party; see ParseParty
	To            string  `toml:"to" json:"to"`
	NewIDs        bool    `toml:"fresh_ids" json:"fresh_ids"` // for deploy: successors come under new ids
}

// FaultKinds names the kinds of trouble and what their figures mean.
var FaultKinds = map[string]string{
	"hang":            "part of the servers take work and answer nothing",
	"fast_errors":     "part of the servers fail a share (size) of their requests at once",
	"neighbour":       "another program takes a share (size) of part of the servers, on and off (every)",
	"gray":            "part of the servers lose a share (size) of their speed, and say nothing",
	"report_late":     "load reports come later by size seconds",
	"deploy":          "part of the servers are replaced within the time, a share (size) of the fleet at a time; each drains for every",
	"restart":         "part of the servers die at once and come back cold after every",
	"zone_lost":       "all servers of one zone (from, else drawn) die at once and come back cold after every",
	"zone_cut":        "one zone (from, else drawn) is cut off from the others",
	"cut":             "nothing passes between from and to: zone:N, proxy:N, server:N, proxies, servers, discovery",
	"discovery":       "discovery is down",
	"discovery_zone":  "the proxies of one zone (from, else drawn) do not reach discovery",
	"reconnect_storm": "all connections of part of the proxies break at once, each every",
	"proxy_kill":      "part of the proxies are killed, and start anew after every",
	"proxy_roll":      "part of the proxies are told to stop within the time, a share (size) of all at a time, and start anew every after their end",
	"shift":           "clients of one zone (from, else drawn) ask size times as often, those of the others less",
	"retry_storm":     "clients ask size times more often again, and at once",
	"flood":           "one tenant (the first) sends size times its traffic",
}

// randomFaults draws troubles of the kinds that the operators have recorded, within the figures that they gave, and of those
// that they may meet; each ends before the play does.
func (w *Scenario) randomFaults(g *rand.Rand) []Fault {
	between := func(lo, hi float64) float64 { return lo + (hi-lo)*g.Float64() }
	length := float64(w.Duration)
	kinds := []string{"hang", "fast_errors", "neighbour", "gray", "report_late", "deploy", "restart", "zone_cut", "discovery",
		"reconnect_storm", "proxy_kill", "retry_storm", "flood"}
	var out []Fault
	for _, i := range g.Perm(len(kinds))[:min(w.RandomFaults, len(kinds))] {
		t := Fault{Kind: kinds[i], Start: Span(length * between(0.1, 0.5)), Duration: Span(length * between(0.2, 0.45)), AffectedShare: between(0.06, 0.2)}
		switch t.Kind {
		case "fast_errors":
			t.Magnitude = between(0.4, 0.85)
		case "neighbour":
			t.AffectedShare, t.Magnitude, t.Interval = between(0.12, 0.38), between(0.37, 0.72), Span(1e6*between(1, 5))
		case "gray":
			t.Magnitude = between(0.5, 0.9)
		case "report_late":
			t.AffectedShare, t.Magnitude = 1, between(1.3, 4.6)
		case "deploy":
			t.AffectedShare, t.Magnitude, t.Interval = between(0.5, 0.97), between(0.08, 0.19), Span(1e6*between(2.6, 5.9))
		case "restart", "proxy_kill":
			t.Interval = Span(1e6 * between(0.5, 4))
		case "zone_cut", "discovery":
			t.Duration = Span(1e6 * between(2, 8))
		case "reconnect_storm":
			t.AffectedShare, t.Duration, t.Interval = 1, 4e6, 1e6
		case "retry_storm", "flood":
			t.Magnitude = between(1.5, 3)
		}
		out = append(out, t)
	}
	return out
}
