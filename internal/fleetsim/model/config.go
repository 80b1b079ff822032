package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"pumiceline/internal/duration"
	"pumiceline/internal/standalone/policy"
)

// Time is a moment or a span in microseconds, as in package decide.
type Time = policy.Time

// Span is a length of time that is written with its unit in files.
type Span = duration.Span

// World describes what is played: fleet, clients, network, discovery and troubles. Quotes returns a whole one. True
// speeds and the like are drawn from the run's seed, within Spread of what stands here; deciders are told only what
// Told says.
type World struct {
	Length  Span `toml:"length" json:"length"`   // clients begin new requests for this long
	Tick    Span `toml:"tick" json:"tick"`       // proxies handle what has come in once a tick; 0: at once
	Servers int  `toml:"servers" json:"servers"` // in service at the start
	Proxies int  `toml:"proxies" json:"proxies"`
	Zones   int  `toml:"zones" json:"zones"`
	Cell    int  `toml:"cell" json:"cell"` // servers of one cell, within a zone

	Load    float64 `toml:"load" json:"load"`         // work asked for, as a share of what the warm fleet can do
	Swing   float64 `toml:"swing" json:"swing"`       // of the load, up and down in a wave
	Wave    Span    `toml:"wave" json:"wave"`         // the wave's length; 0: steady
	Burst   float64 `toml:"burst" json:"burst"`       // how many times the load a burst brings; 0: none
	BurstOn Span    `toml:"burst_on" json:"burst_on"` // mean length of a burst; they take a tenth of the time
	Skew    float64 `toml:"skew" json:"skew"`         // how unlike the zones' traffic is: 0 alike, 1 very
	Spread  float64 `toml:"spread" json:"spread"`     // how far drawn figures lie from those written
	Hint    float64 `toml:"hint" json:"hint"`         // coefficient of variation of the clients' guess at work; <0: no guess

	Keys      Keys      `toml:"keys" json:"keys"`
	Kinds     []Kind    `toml:"kinds" json:"kinds"`
	Classes   []Class   `toml:"classes" json:"classes"`
	Tenants   []Tenant  `toml:"tenants" json:"tenants"`
	Clients   Clients   `toml:"clients" json:"clients"`
	Net       Net       `toml:"net" json:"net"`
	Conn      Conn      `toml:"conn" json:"conn"`
	Reports   Reports   `toml:"reports" json:"reports"`
	Discovery Discovery `toml:"discovery" json:"discovery"`
	Tip       Tip       `toml:"tip" json:"tip"`
	Told      Told      `toml:"told" json:"told"`
	Prices    Prices    `toml:"prices" json:"prices"`
	Troubles  []Trouble `toml:"trouble" json:"trouble"`
	Draw      int       `toml:"draw" json:"draw"` // as many troubles more are drawn from the seed
}

// Kind is a kind of server.
type Kind struct {
	Name       string  `toml:"name" json:"name"`
	Share      float64 `toml:"share" json:"share"` // of the fleet
	Cores      int     `toml:"cores" json:"cores"`
	Speed      float64 `toml:"speed" json:"speed"`               // of a core, in standard cores
	Slots      int     `toml:"slots" json:"slots"`               // requests in work at once
	Room       int     `toml:"room" json:"room"`                 // waiting room; beyond it requests are turned away unseen
	Knee       int     `toml:"knee" json:"knee"`                 // requests held from which it loses efficiency
	Crowding   float64 `toml:"crowding" json:"crowding"`         // loss for each request beyond the knee
	ColdFrom   float64 `toml:"cold_from" json:"cold_from"`       // share of its capacity right after a start
	ColdFor    Span    `toml:"cold_for" json:"cold_for"`         // till it is warm
	WarmByWork bool    `toml:"warm_by_work" json:"warm_by_work"` // it warms with the work done, at the latest by Told.Cold
	PauseEvery Span    `toml:"pause_every" json:"pause_every"`
	Pause      Span    `toml:"pause" json:"pause"`
	Errors     float64 `toml:"errors" json:"errors"` // share of requests answered with an error
}

// Class is a class of requests.
type Class struct {
	Name     string  `toml:"name" json:"name"`
	Share    float64 `toml:"share" json:"share"`
	Work     Span    `toml:"work" json:"work"`   // mean, on a standard core
	CV       float64 `toml:"cv" json:"cv"`       // coefficient of variation of the work (lognormal)
	Noise    float64 `toml:"noise" json:"noise"` // that of one attempt's work about its request's
	Wait     Span    `toml:"wait" json:"wait"`   // mean time that it then waits on others, taking no core and no slot
	Aim      Span    `toml:"aim" json:"aim"`
	Deadline Span    `toml:"deadline" json:"deadline"`
	Worth    float64 `toml:"worth" json:"worth"`   // for each unit of work
	Late     float64 `toml:"late" json:"late"`     // share of the worth for an answer past the aim
	Effect   string  `toml:"effect" json:"effect"` // safe, keyed or unsafe
	Group    string  `toml:"group" json:"group"`   // for keyed: all, zone or cell drop a repeat
	Window   Span    `toml:"window" json:"window"` // for keyed: for this long
}

// Keys are what requests are about. Where Count is not 0, a server that met a request's key of late does less of its work.
type Keys struct {
	Count   int     `toml:"count" json:"count"`
	Zipf    float64 `toml:"zipf" json:"zipf"`         // the n-th key is asked for in proportion to 1/n^zipf
	Gain    float64 `toml:"gain" json:"gain"`         // share of the work that is saved
	For     Span    `toml:"for" json:"for"`           // how long a server remembers a key
	PerCore int     `toml:"per_core" json:"per_core"` // keys that it remembers; the one met longest ago goes first
}

// Tenant is a customer of the service.
type Tenant struct {
	Name  string  `toml:"name" json:"name"`
	Share float64 `toml:"share" json:"share"` // of the service: what it may use
	Usage float64 `toml:"usage" json:"usage"` // its traffic, in its share of the load
}

// Clients are the habits of clients and of the front layer that deals their connections to proxies.
type Clients struct {
	Retries    int     `toml:"retries" json:"retries"`
	Patience   float64 `toml:"patience" json:"patience"` // share of the class's deadline that one try may take
	Backoff    Span    `toml:"backoff" json:"backoff"`   // before a further try; 0: at once
	Marks      bool    `toml:"marks" json:"marks"`       // they say of a repeat that it is one
	Heed       float64 `toml:"heed" json:"heed"`         // share that waits as long as Retry-After says
	MostHeeded Span    `toml:"most_heeded" json:"most_heeded"`
	Hasty      float64 `toml:"hasty" json:"hasty"`           // share that leaves at the aim and asks again
	Reckless   float64 `toml:"reckless" json:"reckless"`     // share that repeats keyed requests after any failure
	Notice     Span    `toml:"notice" json:"notice"`         // till the front layer notices that a proxy has died
	OverShare  float64 `toml:"over_share" json:"over_share"` // worth of what goes past a tenant's share
}

// Net is the network.
type Net struct {
	Same   Span    `toml:"same" json:"same"` // one way, within a zone
	Cross  Span    `toml:"cross" json:"cross"`
	Client Span    `toml:"client" json:"client"`
	Jitter float64 `toml:"jitter" json:"jitter"` // mean of what is added, as a share of the delay
	Peer   Span    `toml:"peer" json:"peer"`     // most that a message between proxies takes on top
	Loss   float64 `toml:"loss" json:"loss"`     // of messages between proxies
}

// Conn is how proxies' connections to servers behave; one carries one request at a time.
type Conn struct {
	Trips      float64 `toml:"trips" json:"trips"` // round trips of a handshake
	Work       Span    `toml:"work" json:"work"`   // that it costs the server
	Idle       Span    `toml:"idle" json:"idle"`   // after which it is closed
	DialWithin Span    `toml:"dial_within" json:"dial_within"`
	CapPerCore int     `toml:"cap_per_core" json:"cap_per_core"`
	Tax        float64 `toml:"tax" json:"tax"` // share of the capacity that a full table takes
}

// Reports are the load reports.
type Reports struct {
	Via   string  `toml:"via" json:"via"` // answers (or nothing): inside answers; probe: to those who ask; none: there are none
	Every Span    `toml:"every" json:"every"`
	Delay Span    `toml:"delay" json:"delay"`
	Noise float64 `toml:"noise" json:"noise"`
}

// Discovery is the service that lists the servers.
type Discovery struct {
	Notice  Span    `toml:"notice" json:"notice"`     // till it knows of a drain or an orderly end
	Silent  Span    `toml:"silent" json:"silent"`     // till it knows of a crash
	Add     Span    `toml:"add" json:"add"`           // till it knows of a start
	Spread  Span    `toml:"spread" json:"spread"`     // most that telling one proxy takes on top
	Calls   float64 `toml:"calls" json:"calls"`       // calls a second that it answers, in turn
	Within  Span    `toml:"within" json:"within"`     // a call that would wait longer fails
	BreakIn Span    `toml:"break_in" json:"break_in"` // mean life of a watch; 0: for ever
}

// Tip is when a cold server falls over: sent more than Multiple times its present capacity for Over.
type Tip struct {
	Multiple float64 `toml:"multiple" json:"multiple"` // 0: servers do not fall over
	Over     Span    `toml:"over" json:"over"`
	Slack    float64 `toml:"slack" json:"slack"` // mean requests on top, for chance
	Down     Span    `toml:"down" json:"down"`   // 0: for good
}

// Told is what deciders are told of the deployment, and the figures of the rules.
type Told struct {
	AnswerSlack Span    `toml:"answer_slack" json:"answer_slack"`
	AskWithin   Span    `toml:"ask_within" json:"ask_within"`
	DrainGrace  Span    `toml:"drain_grace" json:"drain_grace"`
	Cold        Span    `toml:"cold" json:"cold"`
	ColdShare   float64 `toml:"cold_share" json:"cold_share"`
	TipMultiple float64 `toml:"tip_multiple" json:"tip_multiple"`
	Attempts    int     `toml:"attempts" json:"attempts"`
	MostHeld    int     `toml:"most_held" json:"most_held"`
	Copies      bool    `toml:"copies" json:"copies"`
	Cancel      bool    `toml:"cancel" json:"cancel"`
}

// Prices are taken off the service, as PROTOCOL's pages count them: points of worth in 1, for as much as stated.
type Prices struct {
	LateFail  float64 `toml:"late_fail" json:"late_fail"` // all failing only after the aim
	Waste     float64 `toml:"waste" json:"waste"`         // work for nothing, as much as was asked for
	Cross     float64 `toml:"cross" json:"cross"`         // each request crossing zones once
	Handshake float64 `toml:"handshake" json:"handshake"` // a connection for each request
	Probe     float64 `toml:"probe" json:"probe"`         // a probe for each request; the work that it costs a server is left out
	Peer      float64 `toml:"peer" json:"peer"`           // a message of 256 bytes for each request
}

// Trouble is something that goes wrong for a while.
type Trouble struct {
	Kind  string  `toml:"kind" json:"kind"`
	At    Span    `toml:"at" json:"at"`
	For   Span    `toml:"for" json:"for"`
	Part  float64 `toml:"part" json:"part"`   // of the servers (or proxies) that it strikes
	Size  float64 `toml:"size" json:"size"`   // how hard; see Troubles
	Every Span    `toml:"every" json:"every"` // on and off, drain time, or a fault's period; see Troubles
	From  string  `toml:"from" json:"from"`   // for cut: a party; see ParseParty
	To    string  `toml:"to" json:"to"`
	Fresh bool    `toml:"fresh_ids" json:"fresh_ids"` // for deploy: successors come under new ids
}

// Troubles names the kinds of trouble and what their figures mean.
var Troubles = map[string]string{
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

var effects = map[string]*policy.Semantics{"safe": ref(policy.Safe), "keyed": ref(policy.Keyed), "unsafe": ref(policy.Unsafe)}
var groups = map[string]*policy.Group{"": ref(policy.GroupAll), "all": ref(policy.GroupAll), "zone": ref(policy.GroupZone),
	"cell": ref(policy.GroupCell)}

var reportVias = map[string]policy.ReportVia{"": policy.ReportsInAnswers, "answers": policy.ReportsInAnswers,
	"probe": policy.ReportsByProbe, "none": policy.ReportsNone}

func ref[T any](v T) *T { return &v }

// Party is one end of a cut: a kind and, where it names one, its number.
type Party struct {
	Kind string // zone, proxy, server, proxies, servers, discovery
	N    int
}

// ParseParty reads a party as files name it: "zone:2", "proxy:0", "server:7", "proxies", "servers", "discovery".
func ParseParty(s string) (Party, error) {
	var p Party
	switch s {
	case "proxies", "servers", "discovery":
		return Party{Kind: s}, nil
	}
	for _, kind := range []string{"zone", "proxy", "server"} {
		if _, err := fmt.Sscanf(s, kind+":%d", &p.N); err == nil && p.N >= 0 && s == fmt.Sprintf("%s:%d", kind, p.N) {
			p.Kind = kind
			return p, nil
		}
	}
	return p, fmt.Errorf("%q is no party (zone:N, proxy:N, server:N, proxies, servers, discovery)", s)
}

// meanWork is the mean work of a request, in microseconds on a standard core.
func (w *World) meanWork() float64 {
	sum, share := 0.0, 0.0
	for _, c := range w.Classes {
		sum, share = sum+c.Share*float64(c.Work), share+c.Share
	}
	return sum / math.Max(share, 1e-9)
}

// Settings is what the decider of one proxy is told. quota is what the fleet can do, in requests a second.
func (w *World) settings(ordinal, zone int, quota float64) policy.Settings {
	s := policy.Settings{Columns: []policy.Column{policy.ColUtil, policy.ColQPS, policy.ColEPS},
		ReportVia: reportVias[w.Reports.Via], WarmKeys: w.Keys.Count > 0 && w.Keys.Gain > 0, AskDiscovery: true, SizesTold: true, WorthByWork: true,
		OverShareWorth: w.Clients.OverShare, GroupSize: w.Proxies, Ordinal: ordinal, Zone: zone, Zones: w.Zones,
		Round: Time(w.Tick),
		Rules: policy.Rules{AnswerSlack: Time(w.Told.AnswerSlack), AskWithin: Time(w.Told.AskWithin), Cold: Time(w.Told.Cold),
			ColdShare: w.Told.ColdShare, TipMultiple: w.Told.TipMultiple, TipAfter: Time(w.Tip.Over)},
		Limits: policy.Limits{Attempts: w.Told.Attempts, MostHeld: w.Told.MostHeld, Cancel: w.Told.Cancel,
			Probe:        reportVias[w.Reports.Via] == policy.ReportsByProbe,
			SecondCopies: w.Told.Copies, IdleClose: Time(w.Conn.Idle), MaxRetryAfter: Time(w.Clients.MostHeeded)},
		Prices: policy.Prices{CrossZone: w.Prices.Cross},
	}
	for _, c := range w.Classes {
		s.Classes = append(s.Classes, policy.Class{Semantics: *effects[c.Effect], Group: *groups[c.Group], Window: Time(c.Window),
			Aim: Time(c.Aim), Deadline: Time(c.Deadline), Worth: c.Worth})
	}
	for _, t := range w.Tenants {
		s.Tenants = append(s.Tenants, policy.Tenant{QuotaPerS: t.Share * quota * quotaOfCapacity})
	}
	return s
}

// quotaOfCapacity is how much of the fleet's capacity is sold as tenants' shares.
const quotaOfCapacity = 0.8

// DecideClasses are the classes as deciders are told of them.
func (w *World) DecideClasses() []policy.Class { return w.settings(0, 0, 0).Classes }

// Clone copies w with its lists, so that a change of one leaves the other.
func (w *World) Clone() World {
	c := *w
	c.Kinds, c.Classes = slices.Clone(w.Kinds), slices.Clone(w.Classes)
	c.Tenants, c.Troubles = slices.Clone(w.Tenants), slices.Clone(w.Troubles)
	return c
}

// drawn draws troubles of the kinds that the operators have recorded, within the figures that they gave, and of those
// that they may meet; each ends before the play does.
func (w *World) drawn(g *rand.Rand) []Trouble {
	between := func(lo, hi float64) float64 { return lo + (hi-lo)*g.Float64() }
	length := float64(w.Length)
	kinds := []string{"hang", "fast_errors", "neighbour", "gray", "report_late", "deploy", "restart", "zone_cut", "discovery",
		"reconnect_storm", "proxy_kill", "retry_storm", "flood"}
	var out []Trouble
	for _, i := range g.Perm(len(kinds))[:min(w.Draw, len(kinds))] {
		t := Trouble{Kind: kinds[i], At: Span(length * between(0.1, 0.5)), For: Span(length * between(0.2, 0.45)), Part: between(0.06, 0.2)}
		switch t.Kind {
		case "fast_errors":
			t.Size = between(0.4, 0.85)
		case "neighbour":
			t.Part, t.Size, t.Every = between(0.12, 0.38), between(0.37, 0.72), Span(1e6*between(1, 5))
		case "gray":
			t.Size = between(0.5, 0.9)
		case "report_late":
			t.Part, t.Size = 1, between(1.3, 4.6)
		case "deploy":
			t.Part, t.Size, t.Every = between(0.5, 0.97), between(0.08, 0.19), Span(1e6*between(2.6, 5.9))
		case "restart", "proxy_kill":
			t.Every = Span(1e6 * between(0.5, 4))
		case "zone_cut", "discovery":
			t.For = Span(1e6 * between(2, 8))
		case "reconnect_storm":
			t.Part, t.For, t.Every = 1, 4e6, 1e6
		case "retry_storm", "flood":
			t.Size = between(1.5, 3)
		}
		out = append(out, t)
	}
	return out
}
