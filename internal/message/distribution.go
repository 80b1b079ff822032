package message

import "slices"

// PollRequest is a long poll: it asks a coordinator for the configuration, backend list and total loads, as far as they
// are newer than the sender's. It also reports the sender's demand and load.
type PollRequest struct {
	ID             uint64        `msg:"i"`
	ConfigSequence uint64        `msg:"c"` // of the sender's configuration; 0: it has none
	BackendDigest  uint64        `msg:"b"` // of the sender's backend list; 0: it has none
	MaxWaitMs      int           `msg:"h"` // how long the coordinator may delay the response until something is newer
	Demand         []ModelDemand `msg:"d"` // since the last poll
	Loads          []BackendLoad `msg:"l"` // current values, not differences
	Proxies        int           `msg:"p"` // number of proxies whose demand and loads the request reports
	LoadVersion    uint64        `msg:"v"` // of the sender's total loads; 0: it has none
	// BackendsVersion is the version of the sender's backend list; nil: it has none, or is of an earlier build.
	BackendsVersion *BackendsVersion `msg:"bv,omitempty"`
	Retries         []ServiceRetries `msg:"rt,omitempty"` // current values, not differences
}

// BackendsVersion orders a backend list among others; see discovery.BackendList.IsNewerThan.
type BackendsVersion struct {
	AgeMs    int64            `msg:"a"` // time since the list was read from the platform, when the request was sent
	OldestMs int64            `msg:"o"` // age of the oldest list that the sender has used since its last request
	Revision BackendsRevision `msg:"v"`
}

// PollResponse carries the data that is newer than the versions in PollRequest.
type PollResponse struct {
	ID                uint64             `msg:"i"`
	Unavailable       bool               `msg:"u"` // no majority of the voters confirms the coordinator's view: only the members and backends are set; poll another one
	Members           []Member           `msg:"m"` // the coordinators
	Config            *ConfigUpdate      `msg:"c,omitempty"`
	Backends          *BackendUpdate     `msg:"b,omitempty"`
	BackendsKnown     bool               `msg:"k"`           // the coordinator has a backend list
	BackendsAgeMs     int64              `msg:"a"`           // time since that list was read from the platform
	BackendsRevision  BackendsRevision   `msg:"v,omitempty"` // of that list
	WaitedMs          int64              `msg:"h"`           // time between the arrival of the poll and this response
	Proxies           int                `msg:"p"`           // number of proxies in the system
	TotalLoads        []BackendLoad      `msg:"l"`           // loads of all proxies together: all, or only changed ones
	LoadsComplete     bool               `msg:"w"`           // TotalLoads has all backends with a load
	LoadVersion       uint64             `msg:"lv"`          // of the total loads once TotalLoads is applied
	PendingModelLoads []PendingModelLoad `msg:"o"`
	Retries           []ServiceRetries   `msg:"rt,omitempty"` // of all proxies together; empty: not known
}

// BackendsRevision orders the backend lists that one lease holder publishes. It may publish several lists for one
// reading of the platform's list, because its placement tasks observe changed models in between; the time of the
// reading cannot order these. The zero value marks a list that was not published by a lease holder.
type BackendsRevision struct {
	Token  FencingToken `msg:"t"` // of the lease under which the list was published
	Number uint64       `msg:"n"` // of the list under that lease, from 1
}

// ConfigUpdate is an acknowledged configuration: complete, or as a delta.
type ConfigUpdate struct {
	Sequence uint64 `msg:"s"`
	Document []byte `msg:"d"` // empty where Delta is set
	Base     uint64 `msg:"b"` // sequence of the configuration that Delta applies to
	Delta    []byte `msg:"x"`
	Digest   []byte `msg:"g"` // of the document that results from Delta
}

// BackendUpdate is the list of backends, or its changes since the list that the receiver has.
type BackendUpdate struct {
	Digest   uint64      `msg:"d"` // of the complete list
	Base     uint64      `msg:"s"` // digest of the list that the changes apply to; 0: this is the complete list
	Backends []Backend   `msg:"b"` // all, or those that are new or changed
	Removed  []BackendID `msg:"g"` // no longer on the list
}

// Backend is an entry of the platform's list.
type Backend struct {
	ID           BackendID     `msg:"i"`
	Service      string        `msg:"s"`
	Address      string        `msg:"a"` // host:port
	Zone         string        `msg:"z"`
	Capacity     int           `msg:"c"` // requests that it runs concurrently
	Draining     bool          `msg:"d"` // it takes no new requests
	WarmUpLeftMs int           `msg:"-"` // time until it has warmed up; not sent: known only to the list's reader
	TimeLeftMs   int           `msg:"t"` // time until the platform removes it; 0: no removal is announced
	Models       []LoadedModel `msg:"m"`
}

// Holds reports whether the backend holds a model, and its adapter where the name has one.
func (b *Backend) Holds(name ModelName) bool {
	base, adapter := name.Base(), name.Adapter()
	return slices.ContainsFunc(b.Models, func(loaded LoadedModel) bool {
		return loaded.Name == base && (adapter == "" || slices.Contains(loaded.Adapters, adapter))
	})
}

// LoadedModel is a model that a backend holds, with its adapters.
type LoadedModel struct {
	Name     ModelName `msg:"n"`
	Adapters []string  `msg:"a"`
}

// PendingModelLoad is a load of a model or an adapter that is in progress.
type PendingModelLoad struct {
	Service   string    `msg:"s"`
	Model     ModelName `msg:"m"`
	Backend   BackendID `msg:"b"`
	ReadyInMs int64     `msg:"d"` // expected time until it is ready
}

// ModelDemand is the demand for one model since the last report.
type ModelDemand struct {
	Service  string    `msg:"s"`
	Model    ModelName `msg:"m"`
	Arrivals float64   `msg:"a"` // requests
	Waiting  int       `msg:"w"` // requests queued for it now
	Unserved float64   `msg:"x"` // requests rejected because no backend held the model
	InFlight int       `msg:"r"` // requests in flight now
}

// BackendLoad is the load that proxies have put on one backend.
type BackendLoad struct {
	Backend         BackendID `msg:"b"`
	InFlight        int       `msg:"r"` // requests in flight
	QueuedPrefillMs int       `msg:"q"` // prefill time of the requests whose response has no event yet
}

// ServiceRetries are requests and retries for one service within the window of the retry budget.
type ServiceRetries struct {
	Service  string `msg:"s"`
	Requests int    `msg:"q"` // first attempts
	Shared   int    `msg:"x"` // retries that were taken from the part of the budget that the proxies share
}

// LoadReport reports loads that have just changed. If its ID is set, it is also a load query: it asks for the loads
// that the other proxies have put on the backends that hold a model.
type LoadReport struct {
	ID       uint64        `msg:"i"` // of the query; 0: it is only a report
	Service  string        `msg:"s"` // of Model
	Model    ModelName     `msg:"m"` // the model that the query is for
	Loads    []BackendLoad `msg:"l"` // current values, not differences
	Complete bool          `msg:"w"` // the sender has no load at any other backend
}

// LoadResponse answers the query of a LoadReport with the loads of all proxies except the sender of the query. Backends
// without a load are left out.
type LoadResponse struct {
	ID      uint64        `msg:"i"`
	Unknown bool          `msg:"u"` // the coordinator has no backend list
	Loads   []BackendLoad `msg:"l"`
}
